package org.gentianslip.entry.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.id.RequestId;
import org.gentianslip.core.membership.RendezvousHash;
import org.gentianslip.core.published.Backend;
import org.gentianslip.core.route.Route;
import org.gentianslip.core.route.RouteTable;
import org.gentianslip.core.route.ServiceProfile;
import org.gentianslip.core.stream.EngineContacts;
import org.gentianslip.entry.explain.DecisionLog;

/**
 * The entry point for requests of callers and for requests that other instances forward.
 *
 * <p>A forwarded request is served in this region or refused. Safe for use by several threads.
 */
final class Gateway {

  /** The prefix of headers used between instances, in lower case. */
  static final String OWN_PREFIX = "x-gentian-";

  /** The header with the time left for a forwarded request, in milliseconds. */
  static final String REMAINING_MILLIS = "X-Gentian-Remaining-Millis";

  /** The header with the id of the instance that forwarded a request. */
  static final String FORWARDED_BY = "X-Gentian-Forwarded-By";

  /** The header with the outcome of a request that the gateway answered itself. */
  static final String OUTCOME = "X-Gentian-Outcome";

  /** The header with the reason for refusing a request that another attempt would not help. */
  static final String REASON = "X-Gentian-Reason";

  /** The outcome of a request that did not run and will not run. */
  static final String NOT_RUN = "not-run";

  /** The outcome of a request that may have run. */
  static final String UNKNOWN = "unknown";

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** The status of a request that is meant for another receiver. */
  private static final int MISDIRECTED = 421;

  /** The statuses that guarantee to callers that a request did not run. */
  private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, MISDIRECTED, 429, 503);

  /** The reason for refusing or ending a request because this instance is leaving. */
  static final String LEAVING = "leaving";

  /** The retry delay sent during shutdown, in milliseconds; short, as other instances can serve. */
  static final long LEAVING_RETRY_MILLIS = 20;

  private static final double MILLIS_PER_SECOND = 1_000.0;

  private final GatewayState state;
  private final EdgeHeaders edgeHeaders;
  private final RequestAdmission admission;
  private final StreamTakeUp takeUp;
  private final EngineReports engineReports;
  private final ReportLog reportLog = new ReportLog(this);
  private final ReadBarrier barrier;
  private final EngineContacts engineContacts = new EngineContacts();
  private final ReachMonitor reach = new ReachMonitor(this);
  private final GatewayMetrics metrics;
  private final DecisionLog decisions;
  private final OverloadCheck overload = new OverloadCheck(this);
  private final CallerBuffers buffers = CallerBuffers.create();
  private final Set<RequestExecution> inFlight = ConcurrentHashMap.newKeySet();
  private final Map<EventLoop, BackendClient> clients = new ConcurrentHashMap<>();

  Gateway(
      GatewayState state,
      EdgeHeaders edgeHeaders,
      EngineReports engineReports,
      ReadBarrier barrier,
      GatewayMetrics metrics,
      DecisionLog decisions) {
    this.state = state;
    this.edgeHeaders = edgeHeaders;
    this.admission = new RequestAdmission(state, edgeHeaders);
    this.takeUp = new StreamTakeUp(state, edgeHeaders, metrics);
    this.engineReports = engineReports;
    this.barrier = barrier;
    this.metrics = metrics;
    this.decisions = decisions;
  }

  GatewayState state() {
    return state;
  }

  EdgeHeaders edgeHeaders() {
    return edgeHeaders;
  }

  RequestAdmission admission() {
    return admission;
  }

  StreamTakeUp takeUp() {
    return takeUp;
  }

  EngineReports engineReports() {
    return engineReports;
  }

  ReportLog reportLog() {
    return reportLog;
  }

  ReadBarrier barrier() {
    return barrier;
  }

  EngineContacts engineContacts() {
    return engineContacts;
  }

  /** Returns the monitor of the services that this instance reaches. */
  ReachMonitor reach() {
    return reach;
  }

  /** Returns the client of an event loop, creating it if necessary. */
  BackendClient client(EventLoop loop) {
    return clients.computeIfAbsent(loop, BackendClient::new);
  }

  /** Returns the quotas of the bytes that are buffered for callers. */
  CallerBuffers buffers() {
    return buffers;
  }

  /** Closes the connections to backend servers and instances that have been idle for too long. */
  void closeExpired() {
    clients.forEach((loop, client) -> loop.execute(() -> client.closeExpired(System.nanoTime())));
  }

  /** Closes all idle connections to backend servers and instances. */
  void closeIdle() {
    clients.forEach((loop, client) -> loop.execute(client::closeIdle));
  }

  GatewayMetrics metrics() {
    return metrics;
  }

  /** Returns the decision trace of a request, which is not stored if the request id is invalid. */
  DecisionLog.Trace openTrace(String requestId) {
    try {
      return decisions.traceOf(RequestId.of(requestId));
    } catch (IllegalArgumentException e) {
      LOGGER.atInfo().atMostEvery(10, TimeUnit.SECONDS).log(
          "gateway: event=not-explained cause=%s", e.getMessage());
      return new DecisionLog.Trace();
    }
  }

  int inFlight() {
    return inFlight.size();
  }

  /** Ends the requests in flight with their final responses, on their event loops. */
  void endInFlight() {
    inFlight.forEach(e -> e.writer().eventLoop().execute(e::endForShutdown));
  }

  long version() {
    return state.published().routes().map(RouteTable::version).orElse(0L);
  }

  /** Returns the hash of a request id as a number from 0 to 1, which is uniformly distributed. */
  double splitFraction(String requestId) {
    return RendezvousHash.fraction(RendezvousHash.hash(requestId, "split"));
  }

  /** Returns whether a status guarantees to callers that a request did not run. */
  static boolean guaranteesNotRun(int status) {
    return NOT_RUN_STATUSES.contains(status);
  }

  /** Handles a request of a caller. */
  void handleCallerRequest(BufferedHttpRequest request, ResponseWriter writer) {
    handle(request, writer, false);
  }

  /** Handles a request that another instance forwards, unless it is meant for another receiver. */
  void handleForwardedRequest(BufferedHttpRequest request, ResponseWriter writer) {
    Optional<String> receiver = edgeHeaders.receiver(request.headers());
    if (receiver.isPresent() && !receiver.get().equals(state.config().id().value())) {
      refuse(request, writer, new AdmissionResult.Refused(MISDIRECTED, "misdirected", 0));
      return;
    }
    handle(request, writer, true);
  }

  private void handle(BufferedHttpRequest request, ResponseWriter writer, boolean forwarded) {
    if (overload.refuses(request, writer, forwarded)) {
      return;
    }
    AdmissionResult result = admission.admit(request, forwarded);
    if (result instanceof AdmissionResult.Admitted admitted) {
      execute(request, writer, forwarded, admitted);
    } else if (result instanceof AdmissionResult.Refused refused) {
      refuse(request, writer, refused);
    } else if (result instanceof AdmissionResult.Rejected rejected) {
      reject(request, writer, rejected);
    }
  }

  private void execute(
      BufferedHttpRequest request,
      ResponseWriter writer,
      boolean forwarded,
      AdmissionResult.Admitted admitted) {
    long limitMillis = timeLimitMillis(request, admitted.route(), forwarded);
    var execution = new RequestExecution(this, request, writer, admitted, forwarded, limitMillis);
    inFlight.add(execution);
    execution.start();
  }

  private void refuse(
      BufferedHttpRequest request, ResponseWriter writer, AdmissionResult.Refused refused) {
    String id = idOf(request);
    metrics.countRequest("none", "refused");
    metrics.countRefusal("none", refused.reason());
    LOGGER.atInfo().log(
        "gateway: event=request id=%s version=%s outcome=refused reason=%s",
        id, version(), refused.reason());
    HttpHeaders headers = notRunHeaders(id, refused.retryAfterMillis());
    if (refused.reason().equals(CustomerAdmission.CUSTOMER_UNKNOWN)) {
      headers.set(REASON, refused.reason());
    }
    writer.writeResponse(refused.status(), headers, new byte[0]);
  }

  private void reject(
      BufferedHttpRequest request, ResponseWriter writer, AdmissionResult.Rejected rejected) {
    String id = idOf(request);
    metrics.countRequest("none", Integer.toString(rejected.status()));
    metrics.countRejection(rejected.status(), rejected.reason());
    LOGGER.atInfo().log(
        "gateway: event=request id=%s host=%s path=%s version=%s outcome=rejected status=%s"
            + " reason=%s %s",
        id,
        request.host(),
        request.path(),
        version(),
        rejected.status(),
        rejected.reason(),
        rejected.detail());
    writer.writeResponse(rejected.status(), failureHeaders(id), new byte[0]);
  }

  private String idOf(BufferedHttpRequest request) {
    return request.headers().get(edgeHeaders.requestId(), "");
  }

  /** Returns the time left for a request when it was read, in milliseconds. */
  long timeLimitMillis(BufferedHttpRequest request, Route route, boolean forwarded) {
    String name = forwarded ? REMAINING_MILLIS : edgeHeaders.deadlineMillis();
    long requestedMillis = parseMillis(request.headers().get(name), route.timeoutMillis());
    long millis = Math.min(requestedMillis, route.timeoutMillis());
    return state.processor().remainingMillis(System.nanoTime(), millis);
  }

  private static long parseMillis(String text, long defaultMillis) {
    if (text == null) {
      return defaultMillis;
    }
    try {
      return Math.max(0, Long.parseLong(text.trim()));
    } catch (NumberFormatException e) {
      LOGGER.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
          "gateway: event=bad-header value=%s use=%s", text, defaultMillis);
      return defaultMillis;
    }
  }

  /** Returns the headers of a response that guarantees that the request did not run. */
  HttpHeaders notRunHeaders(String id, long retryAfterMillis) {
    HttpHeaders headers = gatewayHeaders(id, NOT_RUN);
    headers.set("Retry-After", Double.toString(retryAfterMillis / MILLIS_PER_SECOND));
    return headers;
  }

  /** Returns the headers of a failure response that leaves open whether the request ran. */
  HttpHeaders failureHeaders(String id) {
    return gatewayHeaders(id, UNKNOWN);
  }

  private HttpHeaders gatewayHeaders(String id, String outcome) {
    var headers = new DefaultHttpHeaders(false);
    if (!id.isEmpty()) {
      headers.set(edgeHeaders.requestId(), id);
    }
    headers.set(OUTCOME, outcome);
    return headers;
  }

  /** Marks a backend server as cold after it has become reachable again. */
  void onBackendReturned(long nowNanos, Backend backend) {
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
        .ifPresent(load -> load.markColdUntil(nowNanos + TimeUnit.MILLISECONDS.toNanos(warmUp)));
  }

  /** Updates the metrics at the end of a request. */
  void finishRequest(RequestExecution execution, String outcome) {
    inFlight.remove(execution);
    int wordEnd = outcome.indexOf(' ');
    metrics.countRequest(
        Integer.toString(execution.route().rank()),
        wordEnd < 0 ? outcome : outcome.substring(0, wordEnd));
  }
}
