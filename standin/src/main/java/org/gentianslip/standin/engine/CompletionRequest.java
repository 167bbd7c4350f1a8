package org.gentianslip.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.StringJoiner;

/**
 * A request for a completion. Immutable.
 *
 * @param model the model
 * @param prompt the prompt, for a chat the contents of its messages joined by a line feed
 * @param maxTokens the length of the completion in tokens
 * @param stream whether the response is streamed
 * @param chat whether the request is a chat completion
 * @param priority the priority; requests of higher priority run first
 */
record CompletionRequest(
    String model, String prompt, int maxTokens, boolean stream, boolean chat, long priority) {

  static final int DEFAULT_MAX_TOKENS = 16;
  static final int TOKEN_LIMIT = 100_000;

  private static final int CHARACTERS_PER_TOKEN = 4;

  /**
   * Parses a request.
   *
   * @throws IllegalArgumentException if a member is missing or out of range
   */
  static CompletionRequest parse(JsonNode body, boolean chat, long priority) {
    String model = body.path("model").asText();
    if (model.isEmpty()) {
      throw new IllegalArgumentException("model must be set");
    }
    int maxTokens = body.path("max_tokens").asInt(DEFAULT_MAX_TOKENS);
    if (maxTokens < 1 || maxTokens > TOKEN_LIMIT) {
      throw new IllegalArgumentException(
          "max_tokens must be from 1 to " + TOKEN_LIMIT + ": " + maxTokens);
    }
    String prompt = chat ? joinMessages(body.path("messages")) : promptOf(body.path("prompt"));
    return new CompletionRequest(
        model, prompt, maxTokens, body.path("stream").asBoolean(false), chat, priority);
  }

  int promptTokens() {
    return countTokens(prompt.length());
  }

  static int countTokens(int characters) {
    return (characters + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN;
  }

  private static String promptOf(JsonNode prompt) {
    if (!prompt.isTextual()) {
      throw new IllegalArgumentException("prompt must be a string");
    }
    return prompt.asText();
  }

  private static String joinMessages(JsonNode messages) {
    if (!messages.isArray() || messages.isEmpty()) {
      throw new IllegalArgumentException("messages must be a list with at least one message");
    }
    var joined = new StringJoiner("\n");
    for (var message : messages) {
      if (!message.path("content").isTextual()) {
        throw new IllegalArgumentException("the content of a message must be a string");
      }
      joined.add(message.path("content").asText());
    }
    return joined.toString();
  }
}
