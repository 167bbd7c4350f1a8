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
 * Reads the settings and the list of instances from the config service.
 *
 * <p>Thread-safe.
 */
public final class ConfigServiceClient {

  private static final ObjectMapper JSON = new ObjectMapper();

  private final HttpFetcher fetcher;
  private final String address;

  /**
   * Creates a client of the config service.
   *
   * @param address the address of the config service, as {@code IP:PORT}
   */
  public ConfigServiceClient(HttpFetcher fetcher, String address) {
    this.fetcher = fetcher;
    this.address = address;
  }

  /**
   * Returns the published settings.
   *
   * @throws IOException if they cannot be read or are not valid
   */
  public Settings settings() throws IOException {
    JsonNode manifest = JSON.readTree(readValue("settings/manifest"));
    List<SettingsDocument> documents = new ArrayList<>();
    for (JsonNode part : manifest.path("parts")) {
      String key = part.path("key").asText();
      documents.add(new SettingsDocument(key, readValue(key)));
    }
    return parse(Revision.of(manifest.path("revision").asLong()), documents);
  }

  /**
   * Returns the live and leaving instances in the list that is published for a region.
   *
   * @throws IOException if the list cannot be read
   */
  public List<ScrapeTarget> scrapeTargets(RegionId region) throws IOException {
    List<ScrapeTarget> targets = new ArrayList<>();
    for (JsonNode entry : JSON.readTree(readValue("instances/" + region)).path("entries")) {
      targets.add(
          new ScrapeTarget(
              entry.path("id").asText(),
              RegionId.of(entry.path("region").asText()),
              entry.path("operatorAddress").asText()));
    }
    return List.copyOf(targets);
  }

  /**
   * Parses settings documents.
   *
   * @throws IOException if the documents are not valid
   */
  public static Settings parse(Revision revision, List<SettingsDocument> documents)
      throws IOException {
    ParseResult result = SettingsParser.parse(revision, documents);
    if (result instanceof ParseResult.Rejected rejected) {
      throw new IOException("the settings are not valid: " + rejected.findings().get(0));
    }
    return ((ParseResult.Accepted) result).settings();
  }

  private byte[] readValue(String key) throws IOException {
    return fetcher.get(address, "/v1/values/" + key);
  }
}
