package org.gentianslip.settings;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.gentianslip.core.id.Revision;

/**
 * Creates and parses settings documents for tests. Stateless and safe for use by several threads.
 */
final class Documents {

  static final String SOURCE = "settings.json";

  private static final String DOCUMENT_TEMPLATE =
      """
      {
        "regions": [{"id": "north", "dataCentres": ["north-1"]}, {"id": "south"}],
        "links": [{"between": ["north", "south"], "oneWayMillis": 55, "megabitsPerSecond": 100}],
        "customers": [
          {"id": "shop", "firm": "acme", "keySha256": "%1$s1"},
          {"id": "bank", "firm": "acme", "keySha256": "%1$s2"}
        ],
        "branches": [%2$s]
      }
      """;

  private Documents() {}

  /** Returns a document with two regions, a link, two customers and the given branches. */
  static SettingsDocument withBranches(String... branches) {
    return of(DOCUMENT_TEMPLATE.formatted("0".repeat(63), String.join(",", branches)));
  }

  /** Returns the branch of the firm that the customers belong to. */
  static String firm(String values) {
    return "{\"id\": \"acme\", \"level\": \"firm\", \"name\": \"acme\", \"values\": {%s}}"
        .formatted(values);
  }

  /** Returns a child branch. */
  static String branch(String id, String parent, String level, String name, String values) {
    return ("{\"id\": \"%s\", \"parent\": \"%s\", \"level\": \"%s\", \"name\": \"%s\","
            + " \"values\": {%s}}")
        .formatted(id, parent, level, name, values);
  }

  static SettingsDocument of(String text) {
    return new SettingsDocument(SOURCE, text.getBytes(StandardCharsets.UTF_8));
  }

  static SettingsDocument example(String name) throws IOException {
    return new SettingsDocument(name, Files.readAllBytes(Path.of("..", "examples", name)));
  }

  static ParseResult parse(SettingsDocument... documents) {
    return SettingsParser.parse(Revision.of(1), List.of(documents));
  }

  static Settings accepted(SettingsDocument... documents) {
    ParseResult result = parse(documents);
    if (result instanceof ParseResult.Accepted accepted) {
      return accepted.settings();
    }
    throw new AssertionError(result);
  }

  static List<Finding> findings(SettingsDocument... documents) {
    return parse(documents) instanceof ParseResult.Rejected rejected
        ? rejected.findings()
        : List.of();
  }
}
