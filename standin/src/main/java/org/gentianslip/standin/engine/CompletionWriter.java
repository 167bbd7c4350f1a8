package org.gentianslip.standin.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.gentianslip.standin.http.StandinJson;

/**
 * Formats completions as OpenAI-compatible JSON bodies and event streams. Stateless and safe for
 * use by several threads.
 */
final class CompletionWriter {

  static final String DONE = "data: [DONE]\n\n";

  private static final String FINISH_REASON = "finish_reason";

  private CompletionWriter() {}

  static String tokenEvent(Generation generation, int index) {
    var choice = StandinJson.MAPPER.createObjectNode().put("index", 0);
    String text = generation.completion.tokenWithSeparator(index);
    if (generation.request.chat()) {
      choice.putObject("delta").put("content", text);
    } else {
      choice.put("text", text);
    }
    return "data: " + chunkBody(generation, choice.putNull(FINISH_REASON)) + "\n\n";
  }

  static String finalEvent(Generation generation) {
    var choice = StandinJson.MAPPER.createObjectNode().put("index", 0);
    if (generation.request.chat()) {
      choice.putObject("delta");
    } else {
      choice.put("text", "");
    }
    var chunk = chunkBody(generation, choice.put(FINISH_REASON, "length"));
    addUsage(chunk, generation);
    return "data: " + chunk + "\n\n";
  }

  static ObjectNode completeBody(Generation generation) {
    var choice = StandinJson.MAPPER.createObjectNode().put("index", 0);
    String text = generation.completion.firstTokens(generation.request.maxTokens());
    if (generation.request.chat()) {
      choice.putObject("message").put("role", "assistant").put("content", text);
    } else {
      choice.put("text", text);
    }
    var body =
        envelope(generation, generation.request.chat() ? "chat.completion" : "text_completion");
    body.putArray("choices").add(choice.put(FINISH_REASON, "length"));
    addUsage(body, generation);
    return body;
  }

  private static ObjectNode chunkBody(Generation generation, ObjectNode choice) {
    String type = generation.request.chat() ? "chat.completion.chunk" : "text_completion";
    var body = envelope(generation, type);
    body.putArray("choices").add(choice);
    return body;
  }

  private static ObjectNode envelope(Generation generation, String type) {
    return StandinJson.MAPPER
        .createObjectNode()
        .put("id", "cmpl-" + generation.completion.digest() + "-" + generation.sequence)
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
