package org.gentianslip.standin.service;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.Map;
import org.gentianslip.standin.http.Digests;
import org.gentianslip.standin.http.HttpExchange;
import org.gentianslip.standin.http.HttpHandler;
import org.gentianslip.standin.http.StandinJson;

/** Handles the calls and admin requests of a service. Safe for use by several threads. */
final class ServiceHandler implements HttpHandler {

  private static final int DIGEST_LENGTH = 16;

  private final ServiceStandin standin;
  private final ServiceOptions options;

  ServiceHandler(ServiceStandin standin, ServiceOptions options) {
    this.standin = standin;
    this.options = options;
  }

  @Override
  public void handle(HttpExchange exchange) {
    try {
      switch (exchange.method() + " " + exchange.path()) {
        case "GET /executions" ->
            exchange.respondJson(200, Map.of("executions", standin.executions()));
        case "GET /admin/stats" -> exchange.respondJson(200, standin.stats());
        case "POST /admin/leaving" -> setLeaving(exchange);
        case "POST /admin/fault" -> setFault(exchange);
        default -> handleServiceCall(exchange);
      }
    } catch (IllegalArgumentException e) {
      exchange.respondError(400, "invalid_request", e.getMessage());
    }
  }

  private void handleServiceCall(HttpExchange exchange) {
    if (!standin.admit(System.nanoTime())) {
      refuseBeforeStart(exchange, "leaving", "The service is leaving.");
      return;
    }
    var fault = standin.consumeFault();
    switch (fault.type()) {
      case REFUSE -> refuseBeforeStart(exchange, "full", "The service refuses calls.");
      case HANG_BEFORE -> {}
      case CLOSE_BEFORE -> exchange.closeConnection();
      case DELAY -> scheduleExecution(exchange, fault, fault.delayMillis());
      default -> scheduleExecution(exchange, fault, options.latencyMillis());
    }
  }

  private void refuseBeforeStart(HttpExchange exchange, String code, String message) {
    standin.countRefused();
    exchange.respondError(503, code, message, Map.of("X-Not-Started", "true"));
  }

  private void scheduleExecution(HttpExchange exchange, ServiceFault fault, long delayMillis) {
    if (delayMillis == 0) {
      execute(exchange, fault);
      return;
    }
    exchange.schedule(Duration.ofMillis(delayMillis), () -> execute(exchange, fault));
  }

  private void execute(HttpExchange exchange, ServiceFault fault) {
    String digest = Digests.sha256(exchange.bodyText()).substring(0, DIGEST_LENGTH);
    String callId = exchange.header("X-Call-Id").orElse("");
    var execution = standin.log().add(callId, exchange.method(), exchange.path(), digest);
    switch (fault.type()) {
      case HANG_AFTER -> {}
      case CLOSE_AFTER -> exchange.closeConnection();
      case FAIL_AFTER ->
          exchange.respondError(500, "failed", "The service failed while executing.");
      default -> exchange.respondJson(200, responseBody(execution));
    }
  }

  private JsonNode responseBody(RecordedExecution execution) {
    return StandinJson.MAPPER
        .createObjectNode()
        .put("service", options.service())
        .put("server", options.id())
        .put("path", execution.path())
        .put("callId", execution.callId())
        .put("bodyDigest", execution.bodyDigest())
        .put("execution", execution.number());
  }

  private void setLeaving(HttpExchange exchange) {
    boolean leaving =
        exchange.bodyLength() == 0 || exchange.requireJson().path("leaving").asBoolean(true);
    standin.setLeaving(leaving);
    exchange.respondJson(200, Map.of("leaving", leaving));
  }

  private void setFault(HttpExchange exchange) {
    var body = exchange.requireJson();
    standin.setFault(
        new ServiceFault(
            FaultType.parse(body.path("fault").asText()),
            body.path("calls").asLong(Long.MAX_VALUE),
            body.path("delayMillis").asLong(0)));
    exchange.respondJson(200, Map.of("accepted", true));
  }
}
