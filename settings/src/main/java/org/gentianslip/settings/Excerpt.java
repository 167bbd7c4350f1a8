package org.gentianslip.settings;

import com.fasterxml.jackson.databind.JsonNode;

/** Quotes bad values in messages without flooding them. Stateless; safe for several threads. */
final class Excerpt {

  private static final int MAX_CHARACTERS = 60;

  private Excerpt() {}

  /** Returns the JSON text of the value, cut after {@value #MAX_CHARACTERS} characters. */
  static String of(JsonNode node) {
    return cut(node.toString());
  }

  /** Returns the text in quotes, cut after {@value #MAX_CHARACTERS} characters. */
  static String of(String text) {
    return cut("\"" + text + "\"");
  }

  private static String cut(String text) {
    return text.length() <= MAX_CHARACTERS ? text : text.substring(0, MAX_CHARACTERS) + "...";
  }
}
