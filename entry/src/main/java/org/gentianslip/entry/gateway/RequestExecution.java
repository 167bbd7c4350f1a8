package org.gentianslip.entry.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.customer.Customer;
import org.gentianslip.core.fleet.PeerRecord;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.id.SoftwareVersion;
import org.gentianslip.core.load.BackendDecision;
import org.gentianslip.core.load.BackendSelector;
import org.gentianslip.core.load.RequestSize;
import org.gentianslip.core.load.RetryDelay;
import org.gentianslip.core.published.Backend;
import org.gentianslip.core.quarantine.RequestTraits;
import org.gentianslip.core.route.Route;
import org.gentianslip.core.route.RouteTable;
import org.gentianslip.core.stream.TakeUp;

/**
 * The execution of one request, from its arrival to its final response.
 *
 * <p>Every request ends exactly once: with the response of a backend server, with a response of the
 * gateway, by aborting a stream that has begun, or because the caller disconnected. The response
 * "not run" is sent only if no backend server may have run the request. Confined to one event loop.
 */
final class RequestExecution implements CallerListener {

  /** The minimum time left at which an attempt is started, in milliseconds. */
  private static final long MIN_ATTEMPT_MILLIS = 15;

  /** The connect timeout for backend servers of this region, in milliseconds. */
  private static final int CONNECT_MILLIS = 350;

  /** The connect timeout for other instances, in milliseconds. */
  private static final int FORWARD_CONNECT_MILLIS = 800;

  /** How long a request that takes a stream up waits for the newest published state. */
  private static final int BARRIER_MILLIS = 700;

  /** The retry delay if another instance holds the prompt back, in milliseconds. */
  private static final double UNKNOWN_HOLD_MILLIS = 30_000;

  private final Gateway gateway;
  private final BufferedHttpRequest request;
  private final ResponseWriter writer;
  private final AdmissionResult.Admitted admitted;
  private final Route route;
  private final AttemptPlanner planner;
  private final CallerResponse response;
  private final String id;
  private final long deadlineNanos;
  private final RequestLog requestLog;
  private Attempt current;
  private ScheduledFuture<?> deadlineTimer;
  private Optional<FailureAnswer> lastFailure = Optional.empty();
  private boolean mayHaveRun;
  private boolean ended;

  RequestExecution(
      Gateway gateway,
      BufferedHttpRequest request,
      ResponseWriter writer,
      AdmissionResult.Admitted admitted,
      boolean forwarded,
      long remainingMillis) {
    this.gateway = gateway;
    this.request = request;
    this.writer = writer;
    this.response = new CallerResponse(writer);
    this.admitted = admitted;
    this.route = admitted.route();
    this.id = request.headers().get(gateway.edgeHeaders().requestId(), "");
    this.requestLog = new RequestLog(id, request, admitted, forwarded, gateway.openTrace(id));
    RequestSize size = gateway.edgeHeaders().sizeOf(request.headers(), request.body().length);
    this.planner =
        new AttemptPlanner(
            gateway.state(),
            route,
            route.serviceFor(gateway.splitFraction(gateway.takeUp().streamId(request, route, id))),
            size,
            RequestTraits.of(size, request::fingerprint),
            admitted.customer().map(Customer::id),
            () -> gateway.admission().maySendAgain(request, admitted, forwarded),
            forwarded);
    if (forwarded) {
      ForwardHeaders.excluded(request.headers()).forEach(planner::exclude);
    }
    this.deadlineNanos = request.receivedNanos() + TimeUnit.MILLISECONDS.toNanos(remainingMillis);
  }

  void start() {
    writer.setListener(this);
    long leftNanos = deadlineNanos - System.nanoTime();
    deadlineTimer = writer.eventLoop().schedule(this::onTimeout, leftNanos, TimeUnit.NANOSECONDS);
    planner.countRequest(System.nanoTime());
    TakeUp takeUp = takeUp();
    if (takeUp instanceof TakeUp.Unconfirmed) {
      gateway
          .barrier()
          .pass()
          .completeOnTimeout(false, BARRIER_MILLIS, TimeUnit.MILLISECONDS)
          .thenRunAsync(this::beginAfterBarrier, writer.eventLoop());
      return;
    }
    begin(takeUp);
  }

  private void beginAfterBarrier() {
    if (ended) {
      return;
    }
    TakeUp takeUp = takeUp();
    if (takeUp instanceof TakeUp.Unconfirmed) {
      gateway.state().recordUnconfirmedVersion(System.nanoTime());
    }
    begin(takeUp);
  }

  private TakeUp takeUp() {
    return gateway
        .takeUp()
        .decide(System.nanoTime(), request, route, service(), planner.forwarded());
  }

  private void begin(TakeUp takeUp) {
    if (takeUp instanceof TakeUp.Unknown || takeUp instanceof TakeUp.Unconfirmed) {
      refuseOrAbort(AttemptPlanner.UNKNOWN_VERSION, AttemptPlanner.DEFAULT_RETRY_MILLIS);
      return;
    }
    if (takeUp instanceof TakeUp.AtVersion known) {
      planner.requireVersion(Optional.of(known.version()));
    }
    startNextAttempt();
  }

  Gateway gateway() {
    return gateway;
  }

  BufferedHttpRequest request() {
    return request;
  }

  ResponseWriter writer() {
    return writer;
  }

  Route route() {
    return route;
  }

  /** Returns the customer, if the request has one. */
  Optional<CustomerId> customer() {
    return admitted.customer().map(Customer::id);
  }

  RequestSize size() {
    return planner.size();
  }

  ServiceId service() {
    return planner.service();
  }

  RequestTraits traits() {
    return planner.traits();
  }

  String id() {
    return id;
  }

  /** Returns the backend servers that the request must not be sent to. */
  Set<EngineId> excludedBackends() {
    return planner.excluded();
  }

  /** Returns which backend servers may serve the request, by their version. */
  VersionLimit versions() {
    return planner.versions();
  }

  long remainingMillis(long nowNanos) {
    return TimeUnit.NANOSECONDS.toMillis(deadlineNanos - nowNanos);
  }

  /**
   * Returns whether the caller is still connected. While the event loop is delayed, its connection
   * is read once more, as the end of it may not have been noticed yet.
   */
  boolean isCallerConnected(long nowNanos) {
    return !gateway.state().processor().isDelayed(nowNanos) || writer.checkConnected();
  }

  /** Starts the next attempt, or ends the request if none is possible. */
  void startNextAttempt() {
    if (ended) {
      return;
    }
    long now = System.nanoTime();
    long leftMillis = remainingMillis(now);
    if (leftMillis < MIN_ATTEMPT_MILLIS) {
      refuseOrAbort("no-time", AttemptPlanner.DEFAULT_RETRY_MILLIS);
      return;
    }
    execute(now, planner.chooseWithRepeat(now, leftMillis));
  }

  private void execute(long nowNanos, BackendDecision decision) {
    if (decision instanceof BackendDecision.ToBackend toBackend) {
      send(nowNanos, toBackend);
    } else if (decision instanceof BackendDecision.ToRegion toRegion) {
      forward(nowNanos, toRegion);
    } else if (decision instanceof BackendDecision.Refuse refusal) {
      refuseOrAbort(refusal.reason(), refusal.excessMillis());
    }
  }

  private void send(long nowNanos, BackendDecision.ToBackend decision) {
    final var backend = decision.option().backend();
    var attempt = new BackendAttempt(this, decision);
    current = attempt;
    planner.recordWork(nowNanos, decision.estimate());
    countAttempt("backend");
    requestLog.recordAttempt(
        nowNanos,
        "backend",
        backend.id().value(),
        "wait="
            + Math.round(decision.estimate().totalMillis())
            + " copy="
            + decision.estimate().copiedTokens()
            + " started="
            + backend.startedMillis()
            + " believed="
            + decision.option().load().warmth(nowNanos));
    attempt.start(nowNanos, CONNECT_MILLIS);
    watchSilence(attempt, decision.estimate().totalMillis());
  }

  private void forward(long nowNanos, BackendDecision.ToRegion decision) {
    Optional<PeerRecord> peer =
        gateway.state().forwardTargets().selectInstance(nowNanos, decision.region(), service());
    if (peer.isEmpty()) {
      gateway.state().forwardTargets().recordRefusal(nowNanos, decision.region(), service());
      startNextAttempt();
      return;
    }
    planner.countForward();
    gateway.state().forwardTargets().recordSend(nowNanos, decision.region(), service());
    var attempt = new ForwardAttempt(this, peer.get());
    current = attempt;
    boolean near = peer.get().region().equals(gateway.state().config().region());
    countAttempt(near ? "neighbour" : "instance");
    requestLog.recordAttempt(
        nowNanos,
        "instance",
        peer.get().id().value(),
        "wait=" + Math.round(decision.expectedMillis()));
    attempt.start(nowNanos, FORWARD_CONNECT_MILLIS);
    watchSilence(attempt, decision.expectedMillis());
  }

  private void countAttempt(String to) {
    gateway.metrics().countAttempt(rank(), to, !planner.hasAttempted());
    planner.countAttempt();
  }

  private void watchSilence(Attempt attempt, double expectedMillis) {
    if (route.repeatability().allowsRepeat()) {
      SilenceMonitor.start(attempt, SilenceTimeout.millis(route, expectedMillis));
    }
  }

  /** Called when the head of an answer was received on a connection, for the log. */
  void onHeadReceived(int status, String connectionUse) {
    requestLog.recordHead(status, connectionUse);
  }

  /** Called when an attempt has received nothing for too long; may replace the attempt. */
  void onSilence(Attempt attempt, long silentMillis, long timeoutMillis) {
    if (route.streaming()) {
      attempt.onSilentStream(System.nanoTime(), silentMillis, timeoutMillis);
    } else {
      replaceSilent(attempt, silentMillis);
    }
  }

  /** Replaces an attempt by one elsewhere if that is possible. */
  void replaceSilent(Attempt attempt, long silentMillis) {
    long now = System.nanoTime();
    if (!writer.isWritable() || !planner.mayUseAnotherBackend() || !response.canResume()) {
      return;
    }
    attempt.exclude(now, planner);
    if (attempt.seemsCutOff(now)) {
      planner.markUnreachable();
    }
    BackendDecision alternative = planner.chooseWithRepeat(now, remainingMillis(now));
    if (alternative instanceof BackendDecision.Refuse) {
      attempt.include(planner);
      return;
    }
    closeSilent(now, attempt, silentMillis);
    execute(now, alternative);
  }

  private void closeSilent(long nowNanos, Attempt attempt, long silentMillis) {
    boolean written = attempt.mayHaveBeenWritten();
    attempt.recordSilence(nowNanos);
    attempt.cancel();
    if (written) {
      recordPossibleRun(attempt);
    }
    requestLog.recordEvent(nowNanos, "silent for " + silentMillis + " ms");
  }

  /** Returns whether a stream may be replaced, as the caller reads and it can be resumed. */
  boolean mayReplace() {
    return writer.isWritable() && response.canResume();
  }

  /**
   * Returns the expected time of one more attempt elsewhere, in milliseconds; negative if none is
   * possible. For a forwarded request the other instance makes that attempt.
   */
  double millisElsewhere(long nowNanos, Attempt attempt) {
    if (planner.forwarded()) {
      // Engines that the sender excludes may have run the request before.
      boolean last = planner.excluded().size() + 1 >= route.maxBackends();
      return last || !planner.hasVersionElsewhere(attempt.target()) ? -1 : route.objectiveMillis();
    }
    BackendDecision decision = decisionElsewhere(nowNanos, attempt);
    return decision instanceof BackendDecision.Refuse ? -1 : planner.completeMillis(decision);
  }

  /** Returns another engine of this region that serves such requests, if any. */
  Optional<Backend> otherEngine(long nowNanos, Attempt attempt) {
    attempt.exclude(nowNanos, planner);
    BackendDecision decision = planner.select(nowNanos, remainingMillis(nowNanos));
    attempt.include(planner);
    return decision instanceof BackendDecision.ToBackend other
        ? Optional.of(other.option().backend())
        : Optional.empty();
  }

  private BackendDecision decisionElsewhere(long nowNanos, Attempt attempt) {
    boolean released = planner.possibleRuns().contains(attempt.target());
    if (!released && !planner.mayUseAnotherBackend()) {
      return new BackendDecision.Refuse("no-backend", 0);
    }
    attempt.exclude(nowNanos, planner);
    BackendDecision decision = planner.select(nowNanos, remainingMillis(nowNanos));
    if (!released) {
      attempt.include(planner);
    }
    return decision;
  }

  /** Closes the connection of a silent stream, which is not started elsewhere yet. */
  void releaseSilent(long nowNanos, Attempt attempt) {
    closeSilent(nowNanos, attempt, silentMillis(nowNanos, attempt));
  }

  private static long silentMillis(long nowNanos, Attempt attempt) {
    return TimeUnit.NANOSECONDS.toMillis(nowNanos - attempt.lastReceivedNanos());
  }

  /**
   * Starts a silent stream elsewhere, or returns it to the instance that forwarded it.
   *
   * @return whether the attempt was given up; false if no other one is possible now
   */
  boolean moveSilent(long nowNanos, Attempt attempt) {
    if (planner.possibleRuns().contains(attempt.target())) {
      startNextAttempt();
      return true;
    }
    if (planner.forwarded()) {
      releaseSilent(nowNanos, attempt);
      abort("silent");
      return true;
    }
    replaceSilent(attempt, silentMillis(nowNanos, attempt));
    return !isCurrent(attempt);
  }

  /** Called when the target of an attempt has proven that it did not run the request. */
  void onAttemptNotRun(Attempt attempt, String reason) {
    if (!isCurrent(attempt)) {
      return;
    }
    requestLog.recordEvent(System.nanoTime(), reason);
    planner.exclude(attempt.target());
    startNextAttempt();
  }

  /** Called when an instance has refused a part of the prompt, as any other one would. */
  void onQuarantined(Attempt attempt) {
    if (isCurrent(attempt)) {
      refuseOrAbort(AttemptPlanner.QUARANTINED, UNKNOWN_HOLD_MILLIS);
    }
  }

  /** Called when an attempt has ended without a usable response. */
  void onAttemptFailed(Attempt attempt, boolean written, String reason) {
    if (!isCurrent(attempt)) {
      return;
    }
    requestLog.recordEvent(System.nanoTime(), reason);
    planner.exclude(attempt.target());
    if (attempt.seemsCutOff(System.nanoTime())) {
      planner.markUnreachable();
    }
    if (written) {
      recordPossibleRun(attempt);
      if (!route.repeatability().allowsRepeat()) {
        abort("unknown");
        return;
      }
      if (!response.canResume()) {
        abort("no-event-id");
        return;
      }
      if (route.streaming() && millisElsewhere(System.nanoTime(), attempt) >= 0) {
        attempt.replaceBroken();
        return;
      }
    }
    startNextAttempt();
  }

  /** Called when an attempt was not written, as no time is left or the caller has left. */
  void onAttemptNotWritten(Attempt attempt) {
    if (!isCurrent(attempt)) {
      return;
    }
    long now = System.nanoTime();
    requestLog.recordEvent(now, "not written");
    if (!isCallerConnected(now)) {
      onDisconnect();
      return;
    }
    refuseOrAbort("no-time", AttemptPlanner.DEFAULT_RETRY_MILLIS);
  }

  private void recordPossibleRun(Attempt attempt) {
    planner.recordPossibleRun(attempt.target());
    attempt.exclude(System.nanoTime(), planner);
    mayHaveRun = true;
  }

  /** Returns whether an error response should lead to another attempt if one is possible. */
  boolean shouldRetryError(int status) {
    return status >= 500
        && route.repeatability().allowsRepeat()
        && !response.streamBegun()
        && remainingMillis(System.nanoTime()) > MIN_ATTEMPT_MILLIS * 4;
  }

  /** Starts another attempt after an error response, or else passes that response on. */
  void retryOrRespond(Attempt attempt, int status, HttpHeaders headers, byte[] body) {
    long now = System.nanoTime();
    recordPossibleRun(attempt);
    lastFailure = Optional.of(new FailureAnswer(status, headers, body));
    BackendDecision decision = planner.chooseWithRepeat(now, remainingMillis(now));
    if (decision instanceof BackendDecision.Refuse) {
      respond(status, headers, body);
      return;
    }
    requestLog.recordEvent(now, "status=" + status);
    execute(now, decision);
  }

  /** Ends the request with the response of a backend server. */
  void respond(int status, HttpHeaders headers, byte[] body) {
    if (response.streamBegun()) {
      abort("status=" + status);
      return;
    }
    if (finish("answered status=" + status)) {
      gateway.metrics().observeResponseTime(rank(), request.elapsedMillis(System.nanoTime()));
      response.writeResponse(status, headers, body);
    }
  }

  /** Sends complete events of a stream to the caller. */
  void writeEvents(HttpHeaders headers, byte[] events, Optional<String> lastId) {
    if (ended) {
      return;
    }
    if (!response.streamBegun()) {
      long now = System.nanoTime();
      long millis = request.elapsedMillis(now);
      requestLog.recordEvent(now, "first-event=" + millis);
      gateway.metrics().observeResponseTime(rank(), millis);
      recordVersion(now);
      planner.markAnswerBegun();
    }
    response.writeEvents(headers, events, lastId);
  }

  /** Limits a stream that may go on elsewhere to the version that begins it. */
  private void recordVersion(long nowNanos) {
    if (!StreamTakeUp.concerns(route)) {
      return;
    }
    Optional<SoftwareVersion> version = current.version();
    planner.requireVersion(version);
    if (!planner.forwarded()) {
      // Of a forwarded stream, only the sender knows which event reached the caller first.
      version.ifPresent(v -> gateway.state().recordStreamOrigin(nowNanos, id, v));
    }
  }

  /** Ends the request with a complete stream. */
  void completeStream(HttpHeaders headers) {
    if (finish("streamed")) {
      response.completeStream(headers);
    }
  }

  private void refuseOrAbort(String reason, double excessMillis) {
    if (lastFailure.isPresent() && !response.streamBegun()) {
      FailureAnswer failure = lastFailure.get();
      respond(failure.status(), failure.headers(), failure.body());
      return;
    }
    if (mayHaveRun || response.streamBegun()) {
      abort(reason);
      return;
    }
    if (finish("refused reason=" + reason)) {
      returnTokens();
      gateway.metrics().countRefusal(rank(), reason);
      response.writeResponse(503, refusalHeaders(reason, excessMillis), new byte[0]);
    }
  }

  private HttpHeaders refusalHeaders(String reason, double excessMillis) {
    if (reason.equals(AttemptPlanner.QUARANTINED) || reason.equals(AttemptPlanner.UNREACHED)) {
      HttpHeaders headers = gateway.notRunHeaders(id, (long) excessMillis);
      headers.set(Gateway.REASON, reason);
      return headers;
    }
    if (reason.equals(AttemptPlanner.NO_VERSION) || reason.equals(AttemptPlanner.UNKNOWN_VERSION)) {
      return gateway.notRunHeaders(id, (long) excessMillis);
    }
    if (reason.equals(Gateway.LEAVING)) {
      return gateway.notRunHeaders(id, Gateway.LEAVING_RETRY_MILLIS);
    }
    long leftMillis = remainingMillis(System.nanoTime());
    double fraction = ThreadLocalRandom.current().nextDouble();
    if (reason.equals(BackendSelector.PAUSED)) {
      return gateway.notRunHeaders(id, RetryDelay.afterPause(excessMillis, fraction));
    }
    return gateway.notRunHeaders(id, RetryDelay.millis(excessMillis, leftMillis, fraction));
  }

  private void abort(String reason) {
    if (finish("broken reason=" + reason)) {
      response.abort(502, failureHeaders());
    }
  }

  private void onTimeout() {
    if (ended) {
      return;
    }
    boolean written = current != null && current.mayHaveBeenWritten();
    cancelCurrent();
    if (!finish("timeout")) {
      return;
    }
    if (!mayHaveRun && !written) {
      returnTokens();
      long retryAfterMillis = AttemptPlanner.DEFAULT_RETRY_MILLIS;
      response.writeResponse(503, gateway.notRunHeaders(id, retryAfterMillis), new byte[0]);
    } else {
      response.abort(504, failureHeaders());
    }
  }

  private HttpHeaders failureHeaders() {
    return withRunningBackend(gateway.failureHeaders(id));
  }

  /** Adds where the request may have run, if it was forwarded. */
  private HttpHeaders withRunningBackend(HttpHeaders headers) {
    if (planner.forwarded() && current != null) {
      EngineId backend = planner.possibleRuns().stream().findFirst().orElseGet(current::target);
      ForwardHeaders.setRanAt(headers, backend);
    }
    return headers;
  }

  /**
   * Ends the request because the process ends. The response states "not run" if no byte of the
   * request was written to a target that may have run it; a stream that has begun is aborted.
   */
  void endForShutdown() {
    if (ended) {
      return;
    }
    boolean written = current != null && current.mayHaveBeenWritten();
    cancelCurrent();
    mayHaveRun |= written;
    refuseOrAbort(Gateway.LEAVING, 0);
  }

  private String rank() {
    return Integer.toString(route.rank());
  }

  private void cancelCurrent() {
    if (current != null) {
      current.cancel();
    }
  }

  private boolean finish(String outcome) {
    if (ended) {
      return false;
    }
    ended = true;
    deadlineTimer.cancel(false);
    gateway.finishRequest(this, outcome);
    requestLog.finish(System.nanoTime(), gateway.version(), outcome);
    return true;
  }

  /** Returns whether the request still waits for an attempt. */
  boolean isCurrent(Attempt attempt) {
    return !ended && current == attempt;
  }

  @Override
  public void onDisconnect() {
    if (!ended) {
      boolean written = current != null && current.mayHaveBeenWritten();
      cancelCurrent();
      finish("caller-left");
      if (!written && !mayHaveRun && !response.streamBegun()) {
        returnTokens();
      }
    }
  }

  /** Gives back the tokens of the request to its customer, as it was not run. */
  private void returnTokens() {
    admitted.grant().ifPresent(gateway.state().quotas()::cancel);
  }

  @Override
  public void onWritabilityChanged(boolean writable) {
    if (!ended && current != null) {
      current.setReading(writable);
    }
  }

  /** Returns the headers of a received response to pass on to the caller. */
  HttpHeaders responseHeaders(HttpHeaders headers) {
    HttpHeaders passed =
        withRunningBackend(HeaderFilter.forCaller(gateway.edgeHeaders(), id, headers));
    if (planner.forwarded() && route.streaming() && current != null) {
      current.version().ifPresent(v -> ForwardHeaders.setVersion(passed, v));
    }
    return passed;
  }

  /** Returns the request headers to pass on to a backend server or another instance. */
  HttpHeaders requestHeaders() {
    HttpHeaders headers =
        HeaderFilter.forUpstream(gateway.edgeHeaders(), request, response.lastEventId());
    if (admitted.dropsKey() || hasCustomers()) {
      headers.remove(gateway.edgeHeaders().customerKey());
    }
    return headers;
  }

  private boolean hasCustomers() {
    return gateway.state().published().routes().flatMap(RouteTable::customers).isPresent();
  }
}
