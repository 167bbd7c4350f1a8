package org.gentianslip.core.id;

/** Validates the text of ids. Stateless and thread-safe. */
final class IdText {

  /** The maximum number of characters in an id. */
  static final int MAX_LENGTH = 128;

  private IdText() {}

  /**
   * Throws an exception if a text is not a valid id.
   *
   * @param type the name of the id's type, for the message
   * @param value the text
   * @throws IllegalArgumentException if {@code value} is not a valid id
   */
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
