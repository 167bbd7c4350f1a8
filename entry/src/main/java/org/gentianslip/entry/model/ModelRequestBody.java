package org.gentianslip.entry.model;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import org.gentianslip.entry.http.ErrorCode;
import org.gentianslip.entry.http.ErrorReply;
import org.gentianslip.entry.http.Json;

/**
 * The fields of a model request's body that the gateway reads.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param model the name of the model
 * @param prompt the prompt, or the contents of all messages with a line break after each
 * @param maxTokens the maximum length of the response, in tokens
 * @param stream whether the response is streamed
 */
public record ModelRequestBody(String model, String prompt, int maxTokens, boolean stream) {

  private static final int DEFAULT_MAX_TOKENS = 256;

  /** The result of parsing a body. Immutable. */
  public sealed interface Result {

    /**
     * The body is valid.
     *
     * @param body the body
     */
    record Valid(ModelRequestBody body) implements Result {}

    /**
     * The body is not valid.
     *
     * @param reply the error response to the caller
     */
    record Invalid(ErrorReply reply) implements Result {}
  }

  /** Parses a body. */
  public static Result parse(byte[] bytes) {
    JsonNode root;
    try {
      root = Json.parse(bytes);
    } catch (JsonProcessingException e) {
      return invalid("The body is not valid JSON" + locationOf(e));
    }
    if (!root.isObject()) {
      return invalid("The body must be a JSON object");
    }
    if (!root.path("model").isTextual()) {
      return invalid("/model must be a string");
    }
    String prompt = prompt(root);
    if (prompt == null) {
      return invalid(
          "/messages must be a non-empty array of messages with string contents,"
              + " or /prompt a string");
    }
    JsonNode maxTokens = root.path("max_tokens");
    if (!maxTokens.isMissingNode() && (!maxTokens.canConvertToInt() || maxTokens.intValue() < 1)) {
      return invalid("/max_tokens must be an integer of at least 1");
    }
    JsonNode stream = root.path("stream");
    if (!stream.isMissingNode() && !stream.isBoolean()) {
      return invalid("/stream must be true or false");
    }
    return new Result.Valid(
        new ModelRequestBody(
            root.path("model").textValue(),
            prompt,
            maxTokens.asInt(DEFAULT_MAX_TOKENS),
            stream.asBoolean(false)));
  }

  private static String locationOf(JsonProcessingException exception) {
    JsonLocation location = exception.getLocation();
    return location == null
        ? ""
        : " at line " + location.getLineNr() + ", column " + location.getColumnNr();
  }

  private static String prompt(JsonNode root) {
    if (root.path("prompt").isTextual()) {
      return root.path("prompt").textValue();
    }
    JsonNode messages = root.path("messages");
    if (!messages.isArray() || messages.isEmpty()) {
      return null;
    }
    var text = new StringBuilder();
    for (JsonNode message : messages) {
      if (!message.path("content").isTextual()) {
        return null;
      }
      text.append(message.path("content").textValue()).append('\n');
    }
    return text.toString();
  }

  private static Result invalid(String message) {
    return new Result.Invalid(ErrorReply.notRun(ErrorCode.MALFORMED_JSON, message + "."));
  }
}
