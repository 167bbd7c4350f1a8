package org.gentianslip.core.id;

/** Checks the text of ids. Stateless and safe for use by several threads. */
final class IdText {

  /** The greatest number of characters in an id. */
  static final int MAX_LENGTH = 128;

  private IdText() {}

  static void requireValid(String type, String value) {
    if (value == null || value.isEmpty()) {
      throw new IllegalArgumentException(type + " must not be empty");
    }
    if (value.length() > MAX_LENGTH) {
      throw new IllegalArgumentException(
          type + " must have at most " + MAX_LENGTH + " characters, but has " + value.length());
    }
    for (int i = 0; i < value.length(); i++) {
      if (!isAllowed(value.charAt(i))) {
        throw new IllegalArgumentException(
            type + " has an invalid character at index " + i + ": \"" + value + "\"");
      }
    }
  }

  private static boolean isAllowed(char c) {
    return (c >= 'a' && c <= 'z')
        || (c >= 'A' && c <= 'Z')
        || (c >= '0' && c <= '9')
        || c == '.'
        || c == '-'
        || c == '_'
        || c == ':';
  }
}
