package org.gentianslip.entry.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.gentianslip.core.id.RequestId;
import org.gentianslip.core.membership.RendezvousHash;
import org.gentianslip.core.published.Backend;
import org.gentianslip.core.route.Route;
import org.gentianslip.core.route.RouteTable;
import org.gentianslip.core.route.ServiceProfile;
import org.gentianslip.entry.explain.DecisionLog;

/**
 * Takes requests of callers and of forwarding instances and starts their runs.
 *
 * <p>A forwarded request is served in this region or not at all. Safe for use by several threads.
 */
final class Gateway {

  /** The prefix of the headers between instances, in lower case. */
  static final String OWN_PREFIX = "x-gentian-";

  /** Tells how long a forwarded request may take, in milliseconds. */
  static final String REMAINING = "X-Gentian-Remaining-Millis";

  /** Names the instance that forwarded a request. */
  static final String FORWARDED_BY = "X-Gentian-Forwarded-By";

  /** Tells what is known of a forwarded request that the other instance answered itself. */
  static final String OUTCOME = "X-Gentian-Outcome";

  /** The request did not run and will not. */
  static final String NOT_RUN = "not-run";

  /** The request may have run. */
  static final String UNKNOWN = "unknown";

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** The statuses that promise callers that a request did not run. */
  private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

  /** When a caller may come back to an instance that cannot serve it yet, in milliseconds. */
  private static final long NOT_READY_MILLIS = 300;

  /** The same while the instance leaves: others serve at once. */
  private static final long LEAVING_MILLIS = 20;

  /** How old news may be before an unknown path is no longer answered with certainty. */
  private static final long STALE_NANOS = TimeUnit.SECONDS.toNanos(8);

  private static final double MILLIS_PER_SECOND = 1_000.0;

  private final GatewayState state;
  private final EdgeHeaders edge;
  private final GatewayMetrics metrics;
  private final DecisionLog decisions;
  private final AtomicInteger inFlight = new AtomicInteger();
  private final Map<EventLoop, BackendClient> clients = new ConcurrentHashMap<>();

  Gateway(GatewayState state, EdgeHeaders edge, GatewayMetrics metrics, DecisionLog decisions) {
    this.state = state;
    this.edge = edge;
    this.metrics = metrics;
    this.decisions = decisions;
  }

  GatewayState state() {
    return state;
  }

  EdgeHeaders edge() {
    return edge;
  }

  /** Returns the client of an event loop. */
  BackendClient client(EventLoop loop) {
    return clients.computeIfAbsent(loop, BackendClient::new);
  }

  /** Closes connections that were idle too long. */
  void sweep() {
    clients.forEach((loop, client) -> loop.execute(() -> client.sweep(System.nanoTime())));
  }

  /** Closes all idle connections. */
  void closeIdle() {
    clients.forEach((loop, client) -> loop.execute(client::closeIdle));
  }

  GatewayMetrics metrics() {
    return metrics;
  }

  /** Returns the account of a request; that of an id that is not usual is not kept. */
  DecisionLog.Trace account(String requestId) {
    try {
      return decisions.traceOf(RequestId.of(requestId));
    } catch (IllegalArgumentException e) {
      LOGGER.atInfo().atMostEvery(10, TimeUnit.SECONDS).log(
          "gateway: event=not-explained cause=%s", e.getMessage());
      return new DecisionLog.Trace();
    }
  }

  int inFlight() {
    return inFlight.get();
  }

  long version() {
    return state.published().routes().map(RouteTable::version).orElse(0L);
  }

  /** Returns a number from 0 to 1 that is evenly spread over the ids of requests. */
  double fractionOf(String requestId) {
    return RendezvousHash.fraction(RendezvousHash.hash(requestId, "split"));
  }

  /** Returns whether a status promises callers that a request did not run. */
  static boolean promisesNotRun(int status) {
    return NOT_RUN_STATUSES.contains(status);
  }

  /** Takes a caller's request. */
  void fromCaller(IncomingRequest request, CallerSink sink) {
    take(request, sink, false);
  }

  /** Takes a request that another instance forwards. */
  void fromInstance(IncomingRequest request, CallerSink sink) {
    take(request, sink, true);
  }

  private void take(IncomingRequest request, CallerSink sink, boolean forwarded) {
    String id = request.headers().get(edge.requestId(), "");
    Optional<RouteTable> table = state.published().routes();
    if (table.isEmpty() || state.refusing()) {
      String why = table.isEmpty() ? "no-configuration" : "leaving";
      refuse(id, sink, why, table.isEmpty() ? NOT_READY_MILLIS : LEAVING_MILLIS);
      return;
    }
    Optional<Route> route =
        table.get().find(request.host().toLowerCase(Locale.ROOT), request.path());
    if (route.isEmpty()) {
      unknownRoute(id, request, sink, forwarded);
      return;
    }
    if (id.isEmpty()) {
      metrics.ended("none", "400");
      sink.answer(400, failureHeaders(id), new byte[0]);
      return;
    }
    if (forwarded && !route.get().allows(state.place().region())) {
      refuse(id, sink, "region-not-allowed", NOT_READY_MILLIS);
      return;
    }
    inFlight.incrementAndGet();
    long remaining = remainingMillis(request, route.get(), forwarded);
    new RequestRun(this, request, sink, route.get(), forwarded, remaining).start();
  }

  private void unknownRoute(
      String id, IncomingRequest request, CallerSink sink, boolean forwarded) {
    boolean stale = state.ageNanos(System.nanoTime()) > STALE_NANOS;
    if (forwarded || stale) {
      refuse(id, sink, "route-not-known", NOT_READY_MILLIS);
      return;
    }
    metrics.ended("none", "404");
    LOGGER.atInfo().log(
        "gateway: event=request id=%s host=%s path=%s version=%s outcome=unknown-path",
        id, request.host(), request.path(), version());
    sink.answer(404, failureHeaders(id), new byte[0]);
  }

  private void refuse(String id, CallerSink sink, String why, long afterMillis) {
    metrics.ended("none", "refused");
    metrics.refused("none", why);
    LOGGER.atInfo().log(
        "gateway: event=request id=%s version=%s outcome=refused reason=%s", id, version(), why);
    sink.answer(503, notRunHeaders(id, afterMillis), new byte[0]);
  }

  private long remainingMillis(IncomingRequest request, Route route, boolean forwarded) {
    String name = forwarded ? REMAINING : edge.deadlineMillis();
    long told = parseMillis(request.headers().get(name), route.timeoutMillis());
    return Math.min(told, route.timeoutMillis());
  }

  private static long parseMillis(String text, long otherwise) {
    if (text == null) {
      return otherwise;
    }
    try {
      return Math.max(0, Long.parseLong(text.trim()));
    } catch (NumberFormatException e) {
      LOGGER.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
          "gateway: event=bad-header value=%s use=%s", text, otherwise);
      return otherwise;
    }
  }

  /** Returns the headers of an answer that promises that the request did not run. */
  HttpHeaders notRunHeaders(String id, long afterMillis) {
    HttpHeaders headers = ownHeaders(id, NOT_RUN);
    headers.set("Retry-After", Double.toString(afterMillis / MILLIS_PER_SECOND));
    return headers;
  }

  /** Returns the headers of an answer of the gateway's own that promises nothing. */
  HttpHeaders failureHeaders(String id) {
    return ownHeaders(id, UNKNOWN);
  }

  private HttpHeaders ownHeaders(String id, String outcome) {
    var headers = new DefaultHttpHeaders(false);
    if (!id.isEmpty()) {
      headers.set(edge.requestId(), id);
    }
    headers.set(OUTCOME, outcome);
    return headers;
  }

  /** Notes that a backend server answers again after it could not be reached. */
  void backendReturned(long nowNanos, Backend backend) {
    long warmUp =
        state
            .published()
            .routes()
            .flatMap(r -> r.service(backend.service()))
            .map(ServiceProfile::warmUpMillis)
            .orElse(0L);
    LOGGER.atInfo().log(
        "gateway: event=backend-returned backend=%s cold-millis=%s", backend.id(), warmUp);
    state
        .load(backend.id())
        .ifPresent(l -> l.markColdUntil(nowNanos + TimeUnit.MILLISECONDS.toNanos(warmUp)));
  }

  /** Counts the end of a request. */
  void ended(Route route, String outcome) {
    inFlight.decrementAndGet();
    int end = outcome.indexOf(' ');
    metrics.ended(Integer.toString(route.rank()), end < 0 ? outcome : outcome.substring(0, end));
  }
}
