package org.gentianslip.entry.operator;

import io.jooby.Context;
import io.jooby.Jooby;
import java.util.Optional;
import org.gentianslip.core.id.RequestId;
import org.gentianslip.entry.http.ErrorCode;
import org.gentianslip.entry.http.ErrorReply;
import org.gentianslip.entry.http.Json;

/**
 * Adds the operators' HTTP routes.
 *
 * <p>All routes except those for health and metrics are restricted to operators. Safe for use by
 * several threads.
 */
public final class OperatorRoutes {

  private static final String JSON = "application/json";

  private final OperatorView view;
  private final OperatorAccess access;
  private final Runnable drain;

  /**
   * Creates the routes.
   *
   * @param access decides who may use the restricted routes
   * @param drain starts the graceful shutdown and returns at once
   */
  public OperatorRoutes(OperatorView view, OperatorAccess access, Runnable drain) {
    this.view = view;
    this.access = access;
    this.drain = drain;
  }

  /** Adds the routes to a port. */
  public void addTo(Jooby app) {
    app.get("/live", ctx -> send(ctx, 200, Json.bytes(Json.object().put("live", true))));
    app.get("/ready", this::ready);
    app.get("/metrics", this::metrics);
    app.get(
        "/status",
        ctx ->
            requireOperator(ctx, () -> send(ctx, 200, Json.bytes(view.status(System.nanoTime())))));
    app.get("/settings", ctx -> requireOperator(ctx, () -> settings(ctx)));
    app.get("/explain/{id}", ctx -> requireOperator(ctx, () -> explain(ctx)));
    app.post("/drain", ctx -> requireOperator(ctx, () -> drain(ctx)));
  }

  private interface Handler {
    Context handle();
  }

  private Context requireOperator(Context ctx, Handler handler) {
    Optional<String> refusal = access.refusal(ctx);
    if (refusal.isPresent()) {
      return fail(ctx, ErrorCode.FORBIDDEN, refusal.get());
    }
    return handler.handle();
  }

  private Object ready(Context ctx) {
    return view.ready()
        ? send(ctx, 200, Json.bytes(Json.object().put("ready", true)))
        : send(ctx, 503, Json.bytes(Json.object().put("ready", false)));
  }

  private Object metrics(Context ctx) {
    ctx.setResponseType("text/plain; version=0.0.4; charset=utf-8");
    return ctx.send(view.metrics());
  }

  private Context settings(Context ctx) {
    try {
      return view.settings(
              ctx.query("customer").value(""),
              ctx.query("kind").value(""),
              ctx.query("region").value(""))
          .map(body -> send(ctx, 200, Json.bytes(body)))
          .orElseGet(() -> fail(ctx, ErrorCode.NOT_READY, "This instance has no settings yet."));
    } catch (IllegalArgumentException e) {
      return fail(ctx, ErrorCode.MALFORMED_REQUEST, e.getMessage());
    }
  }

  private Context explain(Context ctx) {
    String id = ctx.path("id").value();
    try {
      var steps = view.steps(RequestId.of(id));
      if (steps.isEmpty()) {
        return fail(ctx, ErrorCode.UNKNOWN_REQUEST, "The request is not known to this instance.");
      }
      var body = Json.object().put("request", id);
      body.put("instance", view.instance());
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
