package org.gentianslip.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import org.gentianslip.standin.http.HttpExchange;
import org.gentianslip.standin.http.HttpHandler;
import org.gentianslip.standin.http.StandinJson;

/** Routes the HTTP requests of an engine. Safe for use by several threads. */
final class EngineHandler implements HttpHandler {

  private final EngineStandin engine;

  EngineHandler(EngineStandin engine) {
    this.engine = engine;
  }

  @Override
  public void handle(HttpExchange exchange) {
    if (exchange.header("X-Engine").filter(id -> !id.equals(engine.id())).isPresent()) {
      exchange.respondError(421, "other_engine", "The call names another engine.");
      return;
    }
    try {
      switch (exchange.method() + " " + exchange.path()) {
        case "POST /v1/chat/completions" -> complete(exchange, true);
        case "POST /v1/completions" -> complete(exchange, false);
        case "GET /load" -> exchange.respondJson(200, engine.loadReport());
        case "POST /orders" -> applyOrder(exchange);
        case "GET /orders" -> exchange.respondJson(200, currentState());
        case "GET /admin/orders" -> exchange.respondJson(200, engine.state());
        case "POST /admin/leaving" -> setLeaving(exchange);
        case "POST /admin/faults" -> setFaults(exchange);
        case "GET /admin/stats" -> exchange.respondJson(200, engine.stats());
        default -> exchange.respondError(404, "unknown_path", "There is no resource at this path.");
      }
    } catch (IllegalArgumentException e) {
      exchange.respondError(400, "invalid_request", e.getMessage());
    }
  }

  private void complete(HttpExchange exchange, boolean chat) {
    var body = exchange.bodyJson();
    if (body.isEmpty()) {
      exchange.respondError(400, "malformed_json", "The body is not valid JSON.");
      return;
    }
    long priority = exchange.headerAsLong("X-Priority").orElse(0L);
    engine.accept(exchange, CompletionRequest.parse(body.get(), chat, priority));
  }

  private JsonNode currentState() {
    ObjectNode state = StandinJson.MAPPER.valueToTree(engine.state());
    return state.without(List.of("accepted", "refused"));
  }

  private void applyOrder(HttpExchange exchange) {
    var order = ReceivedOrder.parse(exchange.requireJson());
    if (engine.apply(order)) {
      exchange.respondJson(200, Map.of("accepted", true));
    } else {
      exchange.respondError(409, "old_fence", "The fence is lower than that of an accepted order.");
    }
  }

  private void setLeaving(HttpExchange exchange) {
    boolean leaving =
        exchange.bodyLength() == 0 || exchange.requireJson().path("leaving").asBoolean(true);
    engine.setLeaving(leaving);
    exchange.respondJson(200, Map.of("leaving", leaving));
  }

  private void setFaults(HttpExchange exchange) {
    var body = exchange.requireJson();
    engine.setFaults(
        new EngineFaults(
            body.path("cutAfterTokens").asInt(-1), body.path("stallAfterTokens").asInt(-1)));
    exchange.respondJson(200, Map.of("accepted", true));
  }
}
