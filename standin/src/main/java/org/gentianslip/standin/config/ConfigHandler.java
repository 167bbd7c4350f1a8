package org.gentianslip.standin.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.gentianslip.standin.http.HttpCall;
import org.gentianslip.standin.http.HttpHandler;

/**
 * Answers the calls of readers and operators. Safe for use by several threads, as the stand-in is.
 */
final class ConfigHandler implements HttpHandler {

  private static final String VALUES = "/v1/values/";
  private static final String ADMIN_VALUES = "/admin/values/";
  private static final long MAX_WAIT_MILLIS = 120_000;

  private final ConfigStandin standin;

  ConfigHandler(ConfigStandin standin) {
    this.standin = standin;
  }

  @Override
  public void handle(HttpCall call) {
    try {
      route(call);
    } catch (IllegalArgumentException e) {
      call.answerError(400, "invalid_argument", e.getMessage());
    }
  }

  static void answerValue(HttpCall call, PublishedValue value) {
    call.answer(
        200,
        "application/json",
        value.json(),
        Map.of("X-Revision", Long.toString(value.revision())));
  }

  private void route(HttpCall call) {
    if (call.method().equals("GET") && call.path().startsWith(VALUES)) {
      admit(call);
    } else if (call.method().equals("PUT") && call.path().startsWith(ADMIN_VALUES)) {
      putValue(call);
    } else if (call.is("POST", "/admin/settings")) {
      publishSettings(call);
    } else if (call.is("POST", "/admin/mode")) {
      setMode(call);
    } else if (call.is("GET", "/admin/calls")) {
      call.answerJson(200, standin.calls());
    } else {
      call.answerError(404, "unknown_path", "There is nothing at this path.");
    }
  }

  private void admit(HttpCall call) {
    if (!standin.admit(System.nanoTime())) {
      call.answerError(429, "over_budget", "There are too many calls in this second.");
      return;
    }
    long delay = standin.delayMillis();
    if (delay > 0) {
      call.schedule(Duration.ofMillis(delay), () -> read(call));
      return;
    }
    read(call);
  }

  private void read(HttpCall call) {
    if (standin.mode() == ConfigMode.DOWN) {
      call.answerError(503, "down", "The config service is down.");
      return;
    }
    String key = call.path().substring(VALUES.length());
    if (call.query("after").isPresent()) {
      watch(call, key);
      return;
    }
    var value = standin.read(key);
    if (value == null) {
      call.answerError(404, "unknown_key", "There is no value for this key.");
      return;
    }
    answerValue(call, value);
  }

  private void watch(HttpCall call, String key) {
    var watch = new Watch(call, key, call.queryNumber("after", 0));
    long wait = Math.min(MAX_WAIT_MILLIS, Math.max(0, call.queryNumber("waitMillis", 0)));
    if (!standin.await(watch)) {
      var value = standin.read(key);
      if (value == null) {
        call.closeConnection();
        return;
      }
      answerValue(call, value);
      return;
    }
    call.onClose(() -> standin.forget(watch));
    call.schedule(Duration.ofMillis(wait), () -> expire(watch));
  }

  private void expire(Watch watch) {
    if (standin.forget(watch)) {
      watch.call().answer(304, "application/json", "", Map.of());
    }
  }

  private void putValue(HttpCall call) {
    if (call.bodyLength() <= ValueStore.MAX_VALUE_BYTES && call.bodyJson().isEmpty()) {
      call.answerError(400, "malformed_json", "The value is no JSON.");
      return;
    }
    String key = call.path().substring(ADMIN_VALUES.length());
    answer(call, standin.put(key, call.bodyText(), ifMatch(call)));
  }

  private void publishSettings(HttpCall call) {
    Optional<JsonNode> body = call.bodyJson().filter(node -> node.path("parts").isArray());
    if (body.isEmpty()) {
      call.answerError(400, "malformed_json", "The body must be {\"parts\": [...]}.");
      return;
    }
    var parts = new ArrayList<JsonNode>();
    body.get().path("parts").forEach(parts::add);
    var revision = body.get().path("revision");
    answer(
        call,
        standin.publishSettings(
            parts,
            ifMatch(call),
            revision.isNumber() ? OptionalLong.of(revision.asLong()) : OptionalLong.empty()));
  }

  private void setMode(HttpCall call) {
    JsonNode body = call.requireJson();
    String name = body.path("mode").asText();
    if (name.equals("restore")) {
      int steps = body.path("steps").asInt(1);
      if (!standin.restore(steps)) {
        throw new IllegalArgumentException("steps goes back too far: " + steps);
      }
    } else {
      standin.setMode(parseMode(name), body.path("delayMillis").asLong(0));
    }
    call.answerJson(200, Map.of("mode", standin.mode().name().toLowerCase(Locale.ROOT)));
  }

  private static ConfigMode parseMode(String name) {
    try {
      return ConfigMode.valueOf(name.toUpperCase(Locale.ROOT));
    } catch (IllegalArgumentException e) {
      throw new IllegalArgumentException("mode is unknown: \"" + name + "\"", e);
    }
  }

  private static OptionalLong ifMatch(HttpCall call) {
    var revision = call.headerNumber("If-Match");
    return revision.isPresent() ? OptionalLong.of(revision.get()) : OptionalLong.empty();
  }

  private static void answer(HttpCall call, PublishResult result) {
    if (result instanceof PublishResult.Published done) {
      call.answerJson(200, done);
    } else if (result instanceof PublishResult.Conflict conflict) {
      call.answerError(409, "conflict", "The revision in force is " + conflict.revision() + ".");
    } else if (result instanceof PublishResult.TooLarge large) {
      call.answerError(
          413,
          "value_too_large",
          "The value of %s has %d bytes; at most %d are allowed."
              .formatted(large.key(), large.bytes(), ValueStore.MAX_VALUE_BYTES));
    }
  }
}
