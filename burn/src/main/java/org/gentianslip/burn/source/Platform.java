package org.gentianslip.burn.source;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.Revision;
import org.gentianslip.settings.ParseResult;
import org.gentianslip.settings.Settings;
import org.gentianslip.settings.SettingsDocument;
import org.gentianslip.settings.SettingsParser;

/**
 * Reads settings and the list of instances from the config service.
 *
 * <p>Safe for use by several threads.
 */
public final class Platform {

  private static final ObjectMapper JSON = new ObjectMapper();

  private final HttpReader reader;
  private final String address;

  /**
   * Makes a reader of the config service.
   *
   * @param address the config service's address, as {@code IP:PORT}
   */
  public Platform(HttpReader reader, String address) {
    this.reader = reader;
    this.address = address;
  }

  /**
   * Returns the settings that are published.
   *
   * @throws IOException if they cannot be read or are not valid
   */
  public Settings settings() throws IOException {
    JsonNode manifest = JSON.readTree(value("settings/manifest"));
    List<SettingsDocument> documents = new ArrayList<>();
    for (JsonNode part : manifest.path("parts")) {
      String key = part.path("key").asText();
      documents.add(new SettingsDocument(key, value(key)));
    }
    return parse(Revision.of(manifest.path("revision").asLong()), documents);
  }

  /**
   * Returns the live and leaving instances, as a region's list gives them.
   *
   * @throws IOException if the list cannot be read
   */
  public List<Target> targets(RegionId region) throws IOException {
    List<Target> targets = new ArrayList<>();
    for (JsonNode entry : JSON.readTree(value("instances/" + region)).path("entries")) {
      targets.add(
          new Target(
              entry.path("id").asText(),
              RegionId.of(entry.path("region").asText()),
              entry.path("operatorAddress").asText()));
    }
    return List.copyOf(targets);
  }

  /**
   * Returns the settings that the documents make.
   *
   * @throws IOException if they are not valid
   */
  public static Settings parse(Revision revision, List<SettingsDocument> documents)
      throws IOException {
    ParseResult result = SettingsParser.parse(revision, documents);
    if (result instanceof ParseResult.Rejected rejected) {
      throw new IOException("the settings are not valid: " + rejected.findings().get(0));
    }
    return ((ParseResult.Accepted) result).settings();
  }

  private byte[] value(String key) throws IOException {
    return reader.get(address, "/v1/values/" + key);
  }
}
