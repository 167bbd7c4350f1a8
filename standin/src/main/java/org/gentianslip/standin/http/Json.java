package org.gentianslip.standin.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Writes JSON for the stand-ins. Stateless and safe for use by several threads. */
public final class Json {

  /** The mapper that the stand-ins share; its configuration must not be changed. */
  public static final ObjectMapper MAPPER = new ObjectMapper();

  private Json() {}

  /**
   * Returns a value as JSON text.
   *
   * @throws IllegalArgumentException if the value has no JSON form
   */
  public static String text(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("value has no JSON form: " + value, e);
    }
  }
}
