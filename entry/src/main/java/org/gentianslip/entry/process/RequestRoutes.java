package org.gentianslip.entry.process;

import io.jooby.Context;
import io.jooby.Jooby;
import java.time.Duration;
import java.util.Optional;
import org.gentianslip.core.id.RequestId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.entry.caller.Admission;
import org.gentianslip.entry.caller.RequestIdGenerator;
import org.gentianslip.entry.caller.RequestSettings;
import org.gentianslip.entry.http.ErrorCode;
import org.gentianslip.entry.http.ErrorReply;
import org.gentianslip.entry.http.HeaderNames;
import org.gentianslip.entry.http.JoobyResponseSink;
import org.gentianslip.entry.http.ResponseSink;
import org.gentianslip.entry.metrics.EntryMetrics;
import org.gentianslip.entry.model.ModelRequestHandler;
import org.gentianslip.entry.service.ServiceCall;
import org.gentianslip.entry.service.ServiceCallHandler;
import org.gentianslip.entry.state.FleetState;
import org.gentianslip.settings.Service;
import org.gentianslip.settings.SettingCatalog;

/**
 * Adds the HTTP routes for model requests and service calls to the caller port or the peer port.
 *
 * <p>The two ports differ in who is admitted and in whether a request may leave the region. Safe
 * for use by several threads.
 */
final class RequestRoutes {

  private final FleetState state;
  private final RequestIdGenerator ids;
  private final ModelRequestHandler models;
  private final ServiceCallHandler services;
  private final EntryMetrics metrics;

  RequestRoutes(
      FleetState state,
      RequestIdGenerator ids,
      ModelRequestHandler models,
      ServiceCallHandler services,
      EntryMetrics metrics) {
    this.state = state;
    this.ids = ids;
    this.models = models;
    this.services = services;
    this.metrics = metrics;
  }

  /** Who sends the requests of a port, which determines how the requests are admitted. */
  interface Origin {

    /** Decides whether a request is admitted. */
    Admission check(long nowNanos, Context ctx);

    /** Returns how long a request may take. */
    Duration remaining(Context ctx, RequestSettings settings);

    /** Returns whether the requests were forwarded by another instance. */
    boolean forwarded();
  }

  /**
   * Adds the routes.
   *
   * @param prefix the path before the callers' paths, or an empty string
   */
  void addTo(Jooby app, String prefix, Origin origin) {
    for (String path : new String[] {"/v1/chat/completions", "/v1/completions"}) {
      app.post(prefix + path, ctx -> handleModelRequest(ctx, origin, path)).setNonBlocking(true);
    }
    for (String method : new String[] {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}) {
      app.route(
              method,
              prefix + "/services/{service}/*",
              ctx -> handleServiceCall(ctx, prefix, origin))
          .setNonBlocking(true);
    }
  }

  private Context handleModelRequest(Context ctx, Origin origin, String path) {
    long nowNanos = System.nanoTime();
    RequestId id = ids.callerIdOrNew(JoobyRequests.header(ctx, HeaderNames.REQUEST_ID));
    var sink = new JoobyResponseSink(ctx, id.value());
    admit(nowNanos, ctx, origin, sink)
        .ifPresent(
            admitted -> {
              var remaining = origin.remaining(ctx, admitted);
              byte[] body = JoobyRequests.body(ctx);
              if (origin.forwarded()) {
                models.handleForwardedRequest(nowNanos, id, admitted, path, body, sink, remaining);
              } else {
                models.handleCallerRequest(nowNanos, id, admitted, path, body, sink);
              }
            });
    return ctx;
  }

  private Optional<RequestSettings> admit(
      long nowNanos, Context ctx, Origin origin, ResponseSink sink) {
    Admission admission = origin.check(nowNanos, ctx);
    if (admission instanceof Admission.Refused refused) {
      refuse(ctx, origin, sink, refused.reply());
      return Optional.empty();
    }
    RequestSettings settings = ((Admission.Admitted) admission).settings();
    int maxBodyBytes = settings.effective().get(SettingCatalog.MAX_BODY_BYTES);
    Optional<ErrorReply> refusal =
        JoobyRequests.bodyRefusal(ctx, maxBodyBytes, JoobyRequests.body(ctx));
    if (refusal.isPresent()) {
      refuse(ctx, origin, sink, refusal.get());
      return Optional.empty();
    }
    return Optional.of(settings);
  }

  /**
   * Refuses a request before its ticket, if any, has been checked. The outcome of a request with a
   * ticket is unknown, because an earlier call with the same ticket may have run.
   */
  private void refuse(Context ctx, Origin origin, ResponseSink sink, ErrorReply reply) {
    metrics.refusedUnranked(reply.code().text());
    boolean mayHaveRun = JoobyRequests.ticket(ctx).isPresent();
    if (mayHaveRun) {
      sink.fail(reply.withUnknownOutcome());
      return;
    }
    sink.fail(origin.forwarded() ? reply.withHeader(HeaderNames.NOT_STARTED, "true") : reply);
  }

  private Context handleServiceCall(Context ctx, String prefix, Origin origin) {
    long nowNanos = System.nanoTime();
    RequestId id = ids.callerIdOrNew(JoobyRequests.header(ctx, HeaderNames.REQUEST_ID));
    var sink = new JoobyResponseSink(ctx, id.value());
    Optional<RequestSettings> admitted = admit(nowNanos, ctx, origin, sink);
    if (admitted.isEmpty()) {
      return ctx;
    }
    Optional<Service> service = service(ctx);
    if (service.isEmpty()) {
      refuse(
          ctx,
          origin,
          sink,
          ErrorReply.notRun(ErrorCode.UNKNOWN_SERVICE, "The service is not known."));
      return ctx;
    }
    String servicePrefix = prefix + "/services/" + service.get().id();
    Optional<String> path = JoobyRequests.pathAfter(ctx, servicePrefix);
    if (path.isEmpty()) {
      refuse(
          ctx,
          origin,
          sink,
          ErrorReply.notRun(ErrorCode.MALFORMED_REQUEST, "The path must have no dot segments."));
      return ctx;
    }
    services.handle(
        nowNanos,
        serviceCall(nowNanos, ctx, origin, id, admitted.get(), service.get(), path.get()),
        sink);
    return ctx;
  }

  private Optional<Service> service(Context ctx) {
    try {
      return state.settings().service(ServiceId.of(ctx.path("service").value()));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static ServiceCall serviceCall(
      long nowNanos,
      Context ctx,
      Origin origin,
      RequestId id,
      RequestSettings settings,
      Service service,
      String path) {
    String callId = JoobyRequests.header(ctx, HeaderNames.CALL_ID);
    return new ServiceCall(
        id,
        callId == null ? id.value() : callId,
        settings,
        service,
        ctx.getMethod(),
        path,
        JoobyRequests.header(ctx, "Content-Type"),
        JoobyRequests.body(ctx),
        JoobyRequests.ticket(ctx),
        origin.forwarded(),
        nowNanos + origin.remaining(ctx, settings).toNanos());
  }
}
