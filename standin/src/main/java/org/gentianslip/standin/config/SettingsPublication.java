package org.gentianslip.standin.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.gentianslip.standin.http.Digests;
import org.gentianslip.standin.http.StandinJson;

/**
 * The values that make up one published state of the settings: its parts and their manifest.
 *
 * <p>The key of a part contains the SHA-256 of its text. Immutable.
 *
 * @param revision the revision of the manifest
 * @param values the JSON text of each key
 */
record SettingsPublication(long revision, Map<String, String> values) {

  static final String MANIFEST_KEY = "settings/manifest";

  private static final String PART_PREFIX = "settings/parts/";

  static SettingsPublication of(long revision, List<JsonNode> parts) {
    var values = new LinkedHashMap<String, String>();
    var manifestParts = new ArrayList<Map<String, String>>();
    for (var part : parts) {
      String text = StandinJson.toText(part);
      String sha256 = Digests.sha256(text);
      values.put(PART_PREFIX + sha256, text);
      manifestParts.add(Map.of("key", PART_PREFIX + sha256, "sha256", sha256));
    }
    values.put(
        MANIFEST_KEY, StandinJson.toText(Map.of("revision", revision, "parts", manifestParts)));
    return new SettingsPublication(revision, Map.copyOf(values));
  }

  /** Returns the revision in a manifest, or 0 if it has none. */
  static long revisionOf(String manifest) {
    try {
      return StandinJson.MAPPER.readTree(manifest).path("revision").asLong(0);
    } catch (JsonProcessingException e) {
      return 0;
    }
  }
}
