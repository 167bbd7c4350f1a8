package org.gentianslip.standin.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.gentianslip.standin.http.HttpExchange;
import org.gentianslip.standin.http.HttpHandler;

/** Handles the requests of readers and operators. Safe for use by several threads. */
final class ConfigHandler implements HttpHandler {

  private static final String VALUES_PREFIX = "/v1/values/";
  private static final String ADMIN_VALUES_PREFIX = "/admin/values/";
  private static final long MAX_WAIT_MILLIS = 120_000;

  private final ConfigStandin standin;

  ConfigHandler(ConfigStandin standin) {
    this.standin = standin;
  }

  @Override
  public void handle(HttpExchange exchange) {
    try {
      route(exchange);
    } catch (IllegalArgumentException e) {
      exchange.respondError(400, "invalid_argument", e.getMessage());
    }
  }

  static void respondWithValue(HttpExchange exchange, PublishedValue value) {
    exchange.respond(
        200,
        "application/json",
        value.json(),
        Map.of("X-Revision", Long.toString(value.revision())));
  }

  private void route(HttpExchange exchange) {
    if (exchange.method().equals("GET") && exchange.path().startsWith(VALUES_PREFIX)) {
      admitRead(exchange);
    } else if (exchange.method().equals("PUT") && exchange.path().startsWith(ADMIN_VALUES_PREFIX)) {
      putValue(exchange);
    } else if (exchange.matches("POST", "/admin/settings")) {
      publishSettings(exchange);
    } else if (exchange.matches("POST", "/admin/mode")) {
      setMode(exchange);
    } else if (exchange.matches("GET", "/admin/calls")) {
      exchange.respondJson(200, standin.calls());
    } else {
      exchange.respondError(404, "unknown_path", "There is no resource at this path.");
    }
  }

  private void admitRead(HttpExchange exchange) {
    if (!standin.admit(System.nanoTime())) {
      exchange.respondError(429, "over_budget", "The limit of calls per second is exceeded.");
      return;
    }
    long delayMillis = standin.delayMillis();
    if (delayMillis > 0) {
      exchange.schedule(Duration.ofMillis(delayMillis), () -> readValue(exchange));
      return;
    }
    readValue(exchange);
  }

  private void readValue(HttpExchange exchange) {
    if (standin.mode() == ConfigMode.DOWN) {
      exchange.respondError(503, "down", "The config service is down.");
      return;
    }
    String key = exchange.path().substring(VALUES_PREFIX.length());
    if (exchange.queryParameter("after").isPresent()) {
      startWatch(exchange, key);
      return;
    }
    var value = standin.read(key);
    if (value == null) {
      exchange.respondError(404, "unknown_key", "There is no value for this key.");
      return;
    }
    respondWithValue(exchange, value);
  }

  private void startWatch(HttpExchange exchange, String key) {
    var watch = new Watch(exchange, key, exchange.queryParameterAsLong("after", 0));
    long waitMillis =
        Math.min(MAX_WAIT_MILLIS, Math.max(0, exchange.queryParameterAsLong("waitMillis", 0)));
    if (!standin.addWatch(watch)) {
      var value = standin.read(key);
      if (value == null) {
        exchange.closeConnection();
        return;
      }
      respondWithValue(exchange, value);
      return;
    }
    exchange.onClose(() -> standin.removeWatch(watch));
    exchange.schedule(Duration.ofMillis(waitMillis), () -> expire(watch));
  }

  private void expire(Watch watch) {
    if (standin.removeWatch(watch)) {
      watch.exchange().respond(304, "application/json", "", Map.of());
    }
  }

  private void putValue(HttpExchange exchange) {
    if (exchange.bodyLength() <= ValueStore.MAX_VALUE_BYTES && exchange.bodyJson().isEmpty()) {
      exchange.respondError(400, "malformed_json", "The value is not valid JSON.");
      return;
    }
    String key = exchange.path().substring(ADMIN_VALUES_PREFIX.length());
    respond(exchange, standin.publish(key, exchange.bodyText(), ifMatch(exchange)));
  }

  private void publishSettings(HttpExchange exchange) {
    Optional<JsonNode> body = exchange.bodyJson().filter(node -> node.path("parts").isArray());
    if (body.isEmpty()) {
      exchange.respondError(400, "malformed_json", "The body must be {\"parts\": [...]}.");
      return;
    }
    var parts = new ArrayList<JsonNode>();
    body.get().path("parts").forEach(parts::add);
    var revision = body.get().path("revision");
    respond(
        exchange,
        standin.publishSettings(
            parts,
            ifMatch(exchange),
            revision.isNumber() ? OptionalLong.of(revision.asLong()) : OptionalLong.empty()));
  }

  private void setMode(HttpExchange exchange) {
    JsonNode body = exchange.requireJson();
    String name = body.path("mode").asText();
    if (name.equals("restore")) {
      int steps = body.path("steps").asInt(1);
      if (!standin.restore(steps)) {
        throw new IllegalArgumentException(
            "steps must be at least 1 and within the history: " + steps);
      }
    } else {
      standin.setMode(parseMode(name), body.path("delayMillis").asLong(0));
    }
    exchange.respondJson(200, Map.of("mode", standin.mode().name().toLowerCase(Locale.ROOT)));
  }

  private static ConfigMode parseMode(String name) {
    try {
      return ConfigMode.valueOf(name.toUpperCase(Locale.ROOT));
    } catch (IllegalArgumentException e) {
      throw new IllegalArgumentException("unknown mode: \"" + name + "\"", e);
    }
  }

  private static OptionalLong ifMatch(HttpExchange exchange) {
    var revision = exchange.headerAsLong("If-Match");
    return revision.isPresent() ? OptionalLong.of(revision.get()) : OptionalLong.empty();
  }

  private static void respond(HttpExchange exchange, PublishResult result) {
    if (result instanceof PublishResult.Published published) {
      exchange.respondJson(200, published);
    } else if (result instanceof PublishResult.Conflict conflict) {
      exchange.respondError(
          409, "conflict", "The revision in force is " + conflict.revision() + ".");
    } else if (result instanceof PublishResult.TooLarge tooLarge) {
      exchange.respondError(
          413,
          "value_too_large",
          "The value of %s has %d bytes; at most %d are allowed."
              .formatted(tooLarge.key(), tooLarge.bytes(), ValueStore.MAX_VALUE_BYTES));
    }
  }
}
