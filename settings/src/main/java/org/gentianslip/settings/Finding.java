package org.gentianslip.settings;

/**
 * Tells one fault of a settings document, and where it is.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param source the file or key of the document
 * @param pointer the JSON pointer of the place
 * @param message the bad value and what is allowed
 */
public record Finding(String source, String pointer, String message) {

  @Override
  public String toString() {
    return source + ":" + pointer + ": " + message;
  }
}
