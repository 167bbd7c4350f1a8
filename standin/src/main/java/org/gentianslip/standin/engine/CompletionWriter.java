package org.gentianslip.standin.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.gentianslip.standin.http.Json;

/**
 * Writes completions in the forms that the usual clients read. Stateless and safe for use by
 * several threads.
 */
final class CompletionWriter {

  static final String DONE = "data: [DONE]\n\n";

  private static final String FINISH_REASON = "finish_reason";

  private CompletionWriter() {}

  static String event(Generation generation, int index) {
    var choice = Json.MAPPER.createObjectNode().put("index", 0);
    String text = generation.answer.joinedToken(index);
    if (generation.request.chat()) {
      choice.putObject("delta").put("content", text);
    } else {
      choice.put("text", text);
    }
    return "data: " + chunk(generation, choice.putNull(FINISH_REASON)) + "\n\n";
  }

  static String lastEvent(Generation generation) {
    var choice = Json.MAPPER.createObjectNode().put("index", 0);
    if (generation.request.chat()) {
      choice.putObject("delta");
    } else {
      choice.put("text", "");
    }
    var chunk = chunk(generation, choice.put(FINISH_REASON, "length"));
    addUsage(chunk, generation);
    return "data: " + chunk + "\n\n";
  }

  static ObjectNode whole(Generation generation) {
    var choice = Json.MAPPER.createObjectNode().put("index", 0);
    String text = generation.answer.firstTokens(generation.request.maxTokens());
    if (generation.request.chat()) {
      choice.putObject("message").put("role", "assistant").put("content", text);
    } else {
      choice.put("text", text);
    }
    var body = head(generation, generation.request.chat() ? "chat.completion" : "text_completion");
    body.putArray("choices").add(choice.put(FINISH_REASON, "length"));
    addUsage(body, generation);
    return body;
  }

  private static ObjectNode chunk(Generation generation, ObjectNode choice) {
    String type = generation.request.chat() ? "chat.completion.chunk" : "text_completion";
    var body = head(generation, type);
    body.putArray("choices").add(choice);
    return body;
  }

  private static ObjectNode head(Generation generation, String type) {
    return Json.MAPPER
        .createObjectNode()
        .put("id", "cmpl-" + generation.answer.digest() + "-" + generation.sequence)
        .put("object", type)
        .put("created", System.currentTimeMillis() / 1000)
        .put("model", generation.request.model());
  }

  private static void addUsage(ObjectNode body, Generation generation) {
    int prompt = generation.request.promptTokens();
    int completion = generation.request.maxTokens();
    body.putObject("usage")
        .put("prompt_tokens", prompt)
        .put("completion_tokens", completion)
        .put("total_tokens", prompt + completion);
  }
}
