package org.gentianslip.entry.process;

import io.jooby.Context;
import io.jooby.Jooby;
import java.time.Duration;
import java.util.Optional;
import org.gentianslip.core.id.RequestId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.entry.caller.Admission;
import org.gentianslip.entry.caller.RequestIds;
import org.gentianslip.entry.caller.RequestSettings;
import org.gentianslip.entry.http.ErrorCode;
import org.gentianslip.entry.http.ErrorReply;
import org.gentianslip.entry.http.HeaderNames;
import org.gentianslip.entry.http.JoobySink;
import org.gentianslip.entry.http.ResponseSink;
import org.gentianslip.entry.metrics.EntryMetrics;
import org.gentianslip.entry.model.ModelRequests;
import org.gentianslip.entry.service.ServiceCall;
import org.gentianslip.entry.service.ServiceRequests;
import org.gentianslip.entry.state.FleetState;
import org.gentianslip.settings.Service;
import org.gentianslip.settings.SettingCatalog;

/**
 * Adds the routes of requests to a port: the callers' port or the peers' port.
 *
 * <p>The two ports differ in who is let in and in whether a request may leave the region. Safe for
 * use by several threads.
 */
final class RequestPorts {

  private final FleetState state;
  private final RequestIds ids;
  private final ModelRequests models;
  private final ServiceRequests services;
  private final EntryMetrics metrics;

  RequestPorts(
      FleetState state,
      RequestIds ids,
      ModelRequests models,
      ServiceRequests services,
      EntryMetrics metrics) {
    this.state = state;
    this.ids = ids;
    this.models = models;
    this.services = services;
    this.metrics = metrics;
  }

  /** Lets requests in. */
  interface Door {

    /** Returns whether a request may enter. */
    Admission check(long nowNanos, Context ctx);

    /** Returns how long a request may take. */
    Duration remaining(Context ctx, RequestSettings settings);

    /** Returns whether requests have crossed between instances already. */
    boolean forwarded();
  }

  /**
   * Adds the routes.
   *
   * @param prefix the path before the callers' paths, or an empty text
   */
  void addTo(Jooby app, String prefix, Door door) {
    for (String path : new String[] {"/v1/chat/completions", "/v1/completions"}) {
      app.post(prefix + path, ctx -> take(ctx, door, path)).setNonBlocking(true);
    }
    for (String method : new String[] {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}) {
      app.route(method, prefix + "/services/{service}/*", ctx -> takeCall(ctx, prefix, door))
          .setNonBlocking(true);
    }
  }

  private Context take(Context ctx, Door door, String path) {
    long now = System.nanoTime();
    RequestId id = ids.choose(IncomingRequest.header(ctx, HeaderNames.REQUEST_ID));
    var sink = new JoobySink(ctx, id.value());
    admit(now, ctx, door, sink)
        .ifPresent(
            admitted -> {
              var remaining = door.remaining(ctx, admitted);
              byte[] body = IncomingRequest.body(ctx);
              if (door.forwarded()) {
                models.fromPeer(now, id, admitted, path, body, sink, remaining);
              } else {
                models.fromCaller(now, id, admitted, path, body, sink);
              }
            });
    return ctx;
  }

  private Optional<RequestSettings> admit(
      long nowNanos, Context ctx, Door door, ResponseSink sink) {
    Admission admission = door.check(nowNanos, ctx);
    if (admission instanceof Admission.Refused refused) {
      refuse(ctx, door, sink, refused.reply());
      return Optional.empty();
    }
    RequestSettings settings = ((Admission.Admitted) admission).settings();
    int maxBody = settings.effective().get(SettingCatalog.MAX_BODY_BYTES);
    Optional<ErrorReply> fault = IncomingRequest.fault(ctx, maxBody, IncomingRequest.body(ctx));
    if (fault.isPresent()) {
      refuse(ctx, door, sink, fault.get());
      return Optional.empty();
    }
    return Optional.of(settings);
  }

  /** Refuses a request before its ticket, if it has one, was looked at. */
  private void refuse(Context ctx, Door door, ResponseSink sink, ErrorReply reply) {
    metrics.refusedUnranked(reply.code().text());
    boolean mayHaveRun = IncomingRequest.ticket(ctx).isPresent();
    if (mayHaveRun) {
      sink.fail(reply.orUnknown());
      return;
    }
    sink.fail(door.forwarded() ? reply.withHeader(HeaderNames.NOT_STARTED, "true") : reply);
  }

  private Context takeCall(Context ctx, String prefix, Door door) {
    long now = System.nanoTime();
    RequestId id = ids.choose(IncomingRequest.header(ctx, HeaderNames.REQUEST_ID));
    var sink = new JoobySink(ctx, id.value());
    Optional<RequestSettings> admitted = admit(now, ctx, door, sink);
    if (admitted.isEmpty()) {
      return ctx;
    }
    Optional<Service> service = service(ctx);
    if (service.isEmpty()) {
      refuse(
          ctx,
          door,
          sink,
          ErrorReply.notRun(ErrorCode.UNKNOWN_SERVICE, "The service is not known."));
      return ctx;
    }
    String below = prefix + "/services/" + service.get().id();
    Optional<String> path = IncomingRequest.pathBelow(ctx, below);
    if (path.isEmpty()) {
      refuse(
          ctx,
          door,
          sink,
          ErrorReply.notRun(ErrorCode.MALFORMED_REQUEST, "The path must have no dot segments."));
      return ctx;
    }
    services.take(now, call(now, ctx, door, id, admitted.get(), service.get(), path.get()), sink);
    return ctx;
  }

  private Optional<Service> service(Context ctx) {
    try {
      return state.settings().service(ServiceId.of(ctx.path("service").value()));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static ServiceCall call(
      long nowNanos,
      Context ctx,
      Door door,
      RequestId id,
      RequestSettings settings,
      Service service,
      String path) {
    String callId = IncomingRequest.header(ctx, HeaderNames.CALL_ID);
    return new ServiceCall(
        id,
        callId == null ? id.value() : callId,
        settings,
        service,
        ctx.getMethod(),
        path,
        IncomingRequest.header(ctx, "Content-Type"),
        IncomingRequest.body(ctx),
        IncomingRequest.ticket(ctx),
        door.forwarded(),
        nowNanos + door.remaining(ctx, settings).toNanos());
  }
}
