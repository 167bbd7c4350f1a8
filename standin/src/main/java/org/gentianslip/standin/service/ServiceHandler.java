package org.gentianslip.standin.service;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.Map;
import org.gentianslip.standin.http.Digests;
import org.gentianslip.standin.http.HttpCall;
import org.gentianslip.standin.http.HttpHandler;
import org.gentianslip.standin.http.Json;

/** Executes the calls of a service. Safe for use by several threads, as the stand-in is. */
final class ServiceHandler implements HttpHandler {

  private static final int DIGEST_LENGTH = 16;

  private final ServiceStandin standin;
  private final ServiceOptions options;

  ServiceHandler(ServiceStandin standin, ServiceOptions options) {
    this.standin = standin;
    this.options = options;
  }

  @Override
  public void handle(HttpCall call) {
    try {
      switch (call.method() + " " + call.path()) {
        case "GET /executions" -> call.answerJson(200, Map.of("executions", standin.executions()));
        case "GET /admin/stats" -> call.answerJson(200, standin.stats());
        case "POST /admin/leaving" -> setLeaving(call);
        case "POST /admin/fault" -> setFault(call);
        default -> accept(call);
      }
    } catch (IllegalArgumentException e) {
      call.answerError(400, "invalid_request", e.getMessage());
    }
  }

  private void accept(HttpCall call) {
    if (!standin.admit(System.nanoTime())) {
      refuse(call, "leaving", "The service is leaving.");
      return;
    }
    var fault = standin.takeFault();
    switch (fault.type()) {
      case REFUSE -> refuse(call, "full", "The service takes no calls.");
      case HANG_BEFORE -> {}
      case CLOSE_BEFORE -> call.closeConnection();
      case DELAY -> executeLater(call, fault, fault.delayMillis());
      default -> executeLater(call, fault, options.latencyMillis());
    }
  }

  private void refuse(HttpCall call, String code, String message) {
    standin.countRefused();
    call.answerError(503, code, message, Map.of("X-Not-Started", "true"));
  }

  private void executeLater(HttpCall call, ServiceFault fault, long delayMillis) {
    if (delayMillis == 0) {
      execute(call, fault);
      return;
    }
    call.schedule(Duration.ofMillis(delayMillis), () -> execute(call, fault));
  }

  private void execute(HttpCall call, ServiceFault fault) {
    String digest = Digests.sha256(call.bodyText()).substring(0, DIGEST_LENGTH);
    String callId = call.header("X-Call-Id").orElse("");
    var execution = standin.log().add(callId, call.method(), call.path(), digest);
    switch (fault.type()) {
      case HANG_AFTER -> {}
      case CLOSE_AFTER -> call.closeConnection();
      case FAIL_AFTER -> call.answerError(500, "failed", "The service failed while executing.");
      default -> call.answerJson(200, answer(execution));
    }
  }

  private JsonNode answer(Execution execution) {
    return Json.MAPPER
        .createObjectNode()
        .put("service", options.service())
        .put("server", options.id())
        .put("path", execution.path())
        .put("callId", execution.callId())
        .put("bodyDigest", execution.bodyDigest())
        .put("execution", execution.number());
  }

  private void setLeaving(HttpCall call) {
    boolean leaving = call.bodyLength() == 0 || call.requireJson().path("leaving").asBoolean(true);
    standin.setLeaving(leaving);
    call.answerJson(200, Map.of("leaving", leaving));
  }

  private void setFault(HttpCall call) {
    var body = call.requireJson();
    standin.setFault(
        new ServiceFault(
            FaultType.parse(body.path("fault").asText()),
            body.path("calls").asLong(Long.MAX_VALUE),
            body.path("delayMillis").asLong(0)));
    call.answerJson(200, Map.of("accepted", true));
  }
}
