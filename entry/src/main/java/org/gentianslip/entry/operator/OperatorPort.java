package org.gentianslip.entry.operator;

import io.jooby.Context;
import io.jooby.Jooby;
import java.util.function.Predicate;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.KindId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.RequestId;
import org.gentianslip.entry.explain.DecisionLog;
import org.gentianslip.entry.http.ErrorCode;
import org.gentianslip.entry.http.ErrorReply;
import org.gentianslip.entry.http.HeaderNames;
import org.gentianslip.entry.http.Json;
import org.gentianslip.entry.metrics.EntryMetrics;
import org.gentianslip.entry.state.FleetState;
import org.gentianslip.settings.EffectiveReport;

/**
 * Adds the operators' routes.
 *
 * <p>All routes but those for health and metrics need the operators' key. Safe for use by several
 * threads.
 */
public final class OperatorPort {

  private static final String JSON = "application/json";

  private final FleetState state;
  private final EntryMetrics metrics;
  private final DecisionLog decisions;
  private final StatusPage status;
  private final Predicate<String> key;
  private final Runnable drain;

  /**
   * Creates the routes.
   *
   * @param key tells whether a text is the operators' key
   * @param drain starts the graceful shutdown and returns at once
   */
  public OperatorPort(
      FleetState state,
      EntryMetrics metrics,
      DecisionLog decisions,
      StatusPage status,
      Predicate<String> key,
      Runnable drain) {
    this.state = state;
    this.metrics = metrics;
    this.decisions = decisions;
    this.status = status;
    this.key = key;
    this.drain = drain;
  }

  /** Adds the routes to a port. */
  public void addTo(Jooby app) {
    app.get("/live", ctx -> send(ctx, 200, Json.bytes(Json.object().put("live", true))));
    app.get("/ready", this::ready);
    app.get("/metrics", this::metrics);
    app.get("/status", ctx -> guarded(ctx, () -> send(ctx, 200, status.json(System.nanoTime()))));
    app.get("/settings", ctx -> guarded(ctx, () -> settings(ctx)));
    app.get("/explain/{id}", ctx -> guarded(ctx, () -> explain(ctx)));
    app.post("/drain", ctx -> guarded(ctx, () -> drain(ctx)));
  }

  private interface Answer {
    Context give();
  }

  private Context guarded(Context ctx, Answer answer) {
    if (!key.test(ctx.header(HeaderNames.OPERATOR_KEY).valueOrNull())) {
      return fail(ctx, ErrorCode.FORBIDDEN, "The header X-Operator-Key is missing or wrong.");
    }
    return answer.give();
  }

  private Object ready(Context ctx) {
    return state.ready()
        ? send(ctx, 200, Json.bytes(Json.object().put("ready", true)))
        : send(ctx, 503, Json.bytes(Json.object().put("ready", false)));
  }

  private Object metrics(Context ctx) {
    ctx.setResponseType("text/plain; version=0.0.4; charset=utf-8");
    return ctx.send(metrics.text());
  }

  private Context settings(Context ctx) {
    var settings = state.settings();
    if (settings == null) {
      return fail(ctx, ErrorCode.NOT_READY, "This instance has no settings yet.");
    }
    String customer = ctx.query("customer").value("");
    String kind = ctx.query("kind").value("");
    String region = ctx.query("region").value(state.place().region().value());
    try {
      var effective =
          settings.effective(CustomerId.of(customer), RegionId.of(region), KindId.of(kind));
      var body = Json.object().put("revision", settings.revision().value());
      body.set("values", EffectiveReport.values(effective));
      return send(ctx, 200, Json.bytes(body));
    } catch (IllegalArgumentException e) {
      return fail(ctx, ErrorCode.MALFORMED_REQUEST, e.getMessage());
    }
  }

  private Context explain(Context ctx) {
    String id = ctx.path("id").value();
    try {
      var steps = decisions.steps(RequestId.of(id));
      if (steps.isEmpty()) {
        return fail(ctx, ErrorCode.UNKNOWN_REQUEST, "Nothing is known of the request here.");
      }
      var body = Json.object().put("request", id);
      body.put("instance", state.place().instance().value());
      body.set("steps", Json.tree(steps));
      return send(ctx, 200, Json.bytes(body));
    } catch (IllegalArgumentException e) {
      return fail(ctx, ErrorCode.MALFORMED_REQUEST, e.getMessage());
    }
  }

  private Context drain(Context ctx) {
    drain.run();
    return send(ctx, 202, Json.bytes(Json.object().put("draining", true)));
  }

  private static Context send(Context ctx, int code, byte[] body) {
    ctx.setResponseCode(code);
    ctx.setResponseType(JSON);
    return ctx.send(body);
  }

  private static Context fail(Context ctx, ErrorCode code, String message) {
    return send(ctx, code.status(), ErrorReply.notRun(code, message).toJson());
  }
}
