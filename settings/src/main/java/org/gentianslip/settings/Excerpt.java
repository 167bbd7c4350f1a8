package org.gentianslip.settings;

import com.fasterxml.jackson.databind.JsonNode;

/** Quotes invalid values in messages, shortened. Stateless; safe for use by several threads. */
final class Excerpt {

  private static final int MAX_CHARACTERS = 60;

  private Excerpt() {}

  /** Returns the JSON text of the value, truncated after {@value #MAX_CHARACTERS} characters. */
  static String of(JsonNode node) {
    return truncate(node.toString());
  }

  /** Returns the text in quotes, truncated after {@value #MAX_CHARACTERS} characters. */
  static String of(String text) {
    return truncate("\"" + text + "\"");
  }

  private static String truncate(String text) {
    return text.length() <= MAX_CHARACTERS ? text : text.substring(0, MAX_CHARACTERS) + "...";
  }
}
