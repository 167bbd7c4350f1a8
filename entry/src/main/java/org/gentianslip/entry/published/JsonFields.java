package org.gentianslip.entry.published;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;

/**
 * Reads typed values from a JSON document and reports the location of missing or mistyped ones.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param source the name of the document, for messages
 * @param root the root of the document
 */
public record JsonFields(String source, JsonNode root) {

  /**
   * Returns a text.
   *
   * @param pointer the JSON pointer of the value
   * @throws IOException if the value is missing or not a text
   */
  public String text(String pointer) throws IOException {
    JsonNode node = root.at(pointer);
    if (!node.isTextual()) {
      throw new IOException(source + ":" + pointer + ": must be a text, but is " + node);
    }
    return node.textValue();
  }

  /**
   * Returns a number.
   *
   * @param pointer the JSON pointer of the value
   * @throws IOException if the value is missing or not a number
   */
  public double number(String pointer) throws IOException {
    JsonNode node = root.at(pointer);
    if (!node.isNumber()) {
      throw new IOException(source + ":" + pointer + ": must be a number, but is " + node);
    }
    return node.doubleValue();
  }

  /** Returns a number, or the default value if it is missing or not a number. */
  public double number(String pointer, double defaultValue) {
    JsonNode node = root.at(pointer);
    return node.isNumber() ? node.doubleValue() : defaultValue;
  }

  /**
   * Returns a whole number.
   *
   * @param pointer the JSON pointer of the value
   * @throws IOException if the value is missing, not a whole number or out of the range
   */
  public long wholeNumber(String pointer, long min, long max) throws IOException {
    JsonNode node = root.at(pointer);
    if (!node.canConvertToExactIntegral()
        || !node.canConvertToLong()
        || node.longValue() < min
        || node.longValue() > max) {
      throw new IOException(
          source + ":" + pointer + ": must be from " + min + " to " + max + ", but is " + node);
    }
    return node.longValue();
  }

  /** Returns a flag, or false if the value is missing or not convertible to a flag. */
  public boolean flag(String pointer) {
    return root.at(pointer).asBoolean(false);
  }
}
