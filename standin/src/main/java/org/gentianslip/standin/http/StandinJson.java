package org.gentianslip.standin.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Reads and writes JSON for the stand-ins. Stateless and safe for use by several threads. */
public final class StandinJson {

  /** The mapper that the stand-ins share; its configuration must not be changed. */
  public static final ObjectMapper MAPPER = new ObjectMapper();

  private StandinJson() {}

  /**
   * Returns a value as JSON text.
   *
   * @throws IllegalArgumentException if the value cannot be converted
   */
  public static String toText(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("value cannot be converted to JSON: " + value, e);
    }
  }
}
