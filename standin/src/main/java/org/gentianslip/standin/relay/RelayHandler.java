package org.gentianslip.standin.relay;

import java.util.Map;
import org.gentianslip.standin.http.HttpExchange;
import org.gentianslip.standin.http.HttpHandler;

/** Handles the requests of operators of a relay. Safe for use by several threads. */
final class RelayHandler implements HttpHandler {

  private static final String ALL_LINKS = "all";

  private final RelayStandin relay;

  RelayHandler(RelayStandin relay) {
    this.relay = relay;
  }

  @Override
  public void handle(HttpExchange exchange) {
    try {
      switch (exchange.method() + " " + exchange.path()) {
        case "GET /admin/links" -> exchange.respondJson(200, Map.of("links", relay.linkReports()));
        case "POST /admin/links" -> apply(exchange);
        case "GET /admin/capture" -> respondWithCapture(exchange);
        case "DELETE /admin/capture" -> clearCapture(exchange);
        default -> exchange.respondError(404, "unknown_path", "There is no resource at this path.");
      }
    } catch (IllegalArgumentException e) {
      exchange.respondError(400, "invalid_request", e.getMessage());
    }
  }

  private void apply(HttpExchange exchange) {
    var body = exchange.requireJson();
    var action = LinkAction.parse(body.path("action").asText());
    String link = body.path("link").asText();
    if (link.equals(ALL_LINKS)) {
      relay.applyToAll(action);
    } else {
      relay.apply(action, link);
    }
    exchange.respondJson(200, Map.of("links", relay.linkReports()));
  }

  private void respondWithCapture(HttpExchange exchange) {
    var capture = relay.requireLink(exchange.queryParameter("link").orElse("")).capture;
    var complete = Map.of("X-Complete", Boolean.toString(capture.isComplete()));
    exchange.respond(200, "application/octet-stream", capture.bytes(), complete);
  }

  private void clearCapture(HttpExchange exchange) {
    relay.requireLink(exchange.queryParameter("link").orElse("")).capture.clear();
    exchange.respondJson(200, Map.of("cleared", true));
  }
}
