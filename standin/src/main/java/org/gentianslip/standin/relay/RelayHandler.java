package org.gentianslip.standin.relay;

import java.util.Map;
import org.gentianslip.standin.http.HttpCall;
import org.gentianslip.standin.http.HttpHandler;

/** Answers the operators of a relay. Safe for use by several threads, as the relay is. */
final class RelayHandler implements HttpHandler {

  private static final String ALL = "all";

  private final RelayStandin relay;

  RelayHandler(RelayStandin relay) {
    this.relay = relay;
  }

  @Override
  public void handle(HttpCall call) {
    try {
      switch (call.method() + " " + call.path()) {
        case "GET /admin/links" -> call.answerJson(200, Map.of("links", relay.reports()));
        case "POST /admin/links" -> apply(call);
        case "GET /admin/capture" -> answerCapture(call);
        case "DELETE /admin/capture" -> clearCapture(call);
        default -> call.answerError(404, "unknown_path", "There is nothing at this path.");
      }
    } catch (IllegalArgumentException e) {
      call.answerError(400, "invalid_request", e.getMessage());
    }
  }

  private void apply(HttpCall call) {
    var body = call.requireJson();
    var action = LinkAction.parse(body.path("action").asText());
    String link = body.path("link").asText();
    if (link.equals(ALL)) {
      relay.applyToAll(action);
    } else {
      relay.apply(action, link);
    }
    call.answerJson(200, Map.of("links", relay.reports()));
  }

  private void answerCapture(HttpCall call) {
    var capture = relay.require(call.query("link").orElse("")).capture;
    var complete = Map.of("X-Complete", Boolean.toString(capture.isComplete()));
    call.answer(200, "application/octet-stream", capture.bytes(), complete);
  }

  private void clearCapture(HttpCall call) {
    relay.require(call.query("link").orElse("")).capture.clear();
    call.answerJson(200, Map.of("cleared", true));
  }
}
