package org.gentianslip.entry.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Reads and writes JSON with strict limits. Stateless and safe for use by several threads. */
public final class Json {

  private static final int MAX_NESTING = 64;

  private static final ObjectMapper MAPPER =
      new ObjectMapper(
              JsonFactory.builder()
                  .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                  .streamReadConstraints(
                      StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING).build())
                  .build())
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  private Json() {}

  /** Returns a new, empty object. */
  public static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  /** Converts a value to a JSON tree. */
  public static JsonNode tree(Object value) {
    return MAPPER.valueToTree(value);
  }

  /**
   * Parses a document.
   *
   * @throws JsonProcessingException if the bytes are not exactly one valid JSON value
   */
  public static JsonNode parse(byte[] bytes) throws JsonProcessingException {
    try {
      return MAPPER.readTree(bytes);
    } catch (JsonProcessingException e) {
      throw e;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Parses a document into a value of a type.
   *
   * @throws JsonProcessingException if the bytes are not valid JSON or do not match the type
   */
  public static <T> T parse(byte[] bytes, Class<T> type) throws JsonProcessingException {
    try {
      return MAPPER.readValue(bytes, type);
    } catch (JsonProcessingException e) {
      throw e;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Serializes a value to JSON in UTF-8. */
  public static byte[] bytes(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }
}
