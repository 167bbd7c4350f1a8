package org.gentianslip.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import org.gentianslip.standin.http.HttpCall;
import org.gentianslip.standin.http.HttpHandler;
import org.gentianslip.standin.http.Json;

/** Routes the calls of an engine. Safe for use by several threads, as the stand-in is. */
final class EngineHandler implements HttpHandler {

  private final EngineStandin engine;

  EngineHandler(EngineStandin engine) {
    this.engine = engine;
  }

  @Override
  public void handle(HttpCall call) {
    try {
      switch (call.method() + " " + call.path()) {
        case "POST /v1/chat/completions" -> complete(call, true);
        case "POST /v1/completions" -> complete(call, false);
        case "GET /load" -> call.answerJson(200, engine.load());
        case "POST /orders" -> order(call);
        case "GET /orders" -> call.answerJson(200, presentState());
        case "GET /admin/orders" -> call.answerJson(200, engine.state());
        case "POST /admin/leaving" -> setLeaving(call);
        case "POST /admin/faults" -> setFaults(call);
        case "GET /admin/stats" -> call.answerJson(200, engine.stats());
        default -> call.answerError(404, "unknown_path", "There is nothing at this path.");
      }
    } catch (IllegalArgumentException e) {
      call.answerError(400, "invalid_request", e.getMessage());
    }
  }

  private void complete(HttpCall call, boolean chat) {
    var body = call.bodyJson();
    if (body.isEmpty()) {
      call.answerError(400, "malformed_json", "The body is no JSON.");
      return;
    }
    long priority = call.headerNumber("X-Priority").orElse(0L);
    engine.accept(call, CompletionRequest.parse(body.get(), chat, priority));
  }

  private JsonNode presentState() {
    ObjectNode state = Json.MAPPER.valueToTree(engine.state());
    return state.without(List.of("accepted", "refused"));
  }

  private void order(HttpCall call) {
    var order = EngineOrder.parse(call.requireJson());
    if (engine.apply(order)) {
      call.answerJson(200, Map.of("accepted", true));
    } else {
      call.answerError(409, "old_fence", "The fence is older than that of an accepted order.");
    }
  }

  private void setLeaving(HttpCall call) {
    boolean leaving = call.bodyLength() == 0 || call.requireJson().path("leaving").asBoolean(true);
    engine.setLeaving(leaving);
    call.answerJson(200, Map.of("leaving", leaving));
  }

  private void setFaults(HttpCall call) {
    var body = call.requireJson();
    engine.setFaults(
        new EngineFaults(
            body.path("cutAfterTokens").asInt(-1), body.path("stallAfterTokens").asInt(-1)));
    call.answerJson(200, Map.of("accepted", true));
  }
}
