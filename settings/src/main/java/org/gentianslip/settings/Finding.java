package org.gentianslip.settings;

/**
 * An error in a settings document, with its location.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param source the file or key of the document
 * @param pointer the JSON pointer to the invalid value
 * @param message a message that quotes the invalid value and states what is allowed
 */
public record Finding(String source, String pointer, String message) {

  @Override
  public String toString() {
    return source + ":" + pointer + ": " + message;
  }
}
