package org.gentianslip.entry.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.SoftwareVersion;
import org.gentianslip.core.limit.StatedLimit;
import org.gentianslip.core.load.BackendDecision;
import org.gentianslip.core.load.BackendLoad;
import org.gentianslip.core.load.PromptFetch;
import org.gentianslip.core.load.PromptPart;
import org.gentianslip.core.load.Reservation;
import org.gentianslip.core.load.ServiceReach;
import org.gentianslip.core.published.Backend;
import org.gentianslip.core.quarantine.PromptQuarantine;
import org.gentianslip.core.route.Repeatability;

/** An attempt at a backend server of this instance's region. Confined to one event loop. */
final class BackendAttempt extends Attempt {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** The number of events up to which a request may have made the backend server fail. */
  private static final int MAX_EVENTS_OF_CRASH = 1;

  /**
   * The longest pause of a backend server that is kept, in milliseconds, so that an odd value does
   * not end its use.
   */
  private static final long MAX_PAUSE_MILLIS = 60_000;

  private static final int FIRST_SERVER_ERROR = 500;

  /** The time without a connection from which its target is silent, as a refusal is faster. */
  private static final long SILENT_CONNECT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** The maximum number of parts of a prompt in one log line. */
  private static final int LOGGED_PARTS = 8;

  private final BackendDecision.ToBackend decision;
  private final Backend backend;
  private final AtomicLong heardNanos;
  private long writtenNanos = lastReceivedNanos();
  private Reservation reservation;
  private long sentNanos;
  private boolean shortConnect;
  private boolean otherServer;

  BackendAttempt(RequestExecution execution, BackendDecision.ToBackend decision) {
    super(execution);
    this.decision = decision;
    this.backend = decision.option().backend();
    this.heardNanos =
        execution.gateway().engineContacts().heardNanos(System.nanoTime(), backend.id());
  }

  @Override
  void start(long nowNanos, int connectMillis) {
    boolean urgent = execution().route().rank() == 0;
    sentNanos = nowNanos;
    reservation =
        decision.option().load().reserve(nowNanos, urgent, execution().size(), decision.estimate());
    HttpHeaders headers = execution().requestHeaders();
    execution()
        .gateway()
        .edgeHeaders()
        .addForBackend(
            headers, backend, execution().route().rank(), execution().customer(), promptSource());
    boolean fresh =
        execution().route().repeatability() == Repeatability.ONCE
            && !execution().route().streaming();
    int timeoutMillis =
        (int) Math.min(connectMillis, Math.max(1, execution().remainingMillis(nowNanos)));
    shortConnect = timeoutMillis < connectMillis;
    send(backend.address(), headers, fresh, timeoutMillis);
  }

  @Override
  long oneWayMillis() {
    return 0;
  }

  private Optional<Backend> promptSource() {
    return decision.estimate().copiedTokens() > 0
        ? decision.option().fetch().map(PromptFetch::source)
        : Optional.empty();
  }

  @Override
  void recordFailure(long nowNanos, String cause) {
    reservation.failed(nowNanos);
    if (!givenUp()) {
      suspectRestart(nowNanos, "broken");
    }
    if (receivedEvents() <= MAX_EVENTS_OF_CRASH) {
      reportCrashIfDown(nowNanos);
    }
    execution().gateway().reach().check(execution().writer().eventLoop(), backend);
    LOGGER.atInfo().log(
        "gateway: event=backend-broke backend=%s id=%s millis=%s events=%s parts=%s prompt=%s"
            + " fingerprint=%s cause=%s",
        backend.id(),
        execution().id(),
        TimeUnit.NANOSECONDS.toMillis(nowNanos - sentNanos),
        receivedEvents(),
        execution().size().sharedParts().stream().map(PromptPart::id).limit(LOGGED_PARTS).toList(),
        execution().size().ownPart().map(PromptPart::id).orElse("none"),
        execution().traits().fingerprint(),
        cause);
  }

  private void reportCrashIfDown(long brokeNanos) {
    Gateway gateway = execution().gateway();
    PromptQuarantine quarantine = gateway.state().quarantine();
    gateway
        .client(execution().writer().eventLoop())
        .crashDetector()
        .ifDown(
            backend,
            () ->
                quarantine.recordCrash(
                    execution().id(), backend.id(), execution().traits(), sentNanos, brokeNanos));
  }

  @Override
  void recordSilence(long nowNanos) {
    if (!mayHaveBeenWritten()) {
      execution().gateway().reach().check(execution().writer().eventLoop(), backend);
    }
    reservation.failed(nowNanos);
    suspectRestart(nowNanos, "silent");
  }

  private void suspectRestart(long nowNanos, String cause) {
    long heard = Math.max(writtenNanos, lastReceivedNanos());
    if (decision.option().load().suspectRestart(nowNanos, heard)) {
      LOGGER.atInfo().log(
          "gateway: event=restart-suspected backend=%s started=%s cause=%s heard-age=%s",
          backend.id(),
          backend.startedMillis(),
          cause,
          TimeUnit.NANOSECONDS.toMillis(nowNanos - heard));
    }
  }

  private void recordContact(long nowNanos) {
    if (decision.option().load().recordContact(nowNanos, connectedNanos())) {
      LOGGER.atInfo().log(
          "gateway: event=restart-refuted backend=%s started=%s connection-age=%s",
          backend.id(),
          backend.startedMillis(),
          TimeUnit.NANOSECONDS.toMillis(nowNanos - connectedNanos()));
    }
  }

  @Override
  void recordUnreachable(long nowNanos) {
    reservation.unreachable(nowNanos);
    if (!shortConnect) {
      execution()
          .gateway()
          .reach()
          .recordFailed(nowNanos, execution().writer().eventLoop(), backend);
    }
  }

  @Override
  boolean seemsCutOff(long nowNanos) {
    boolean refused = nowNanos - sentNanos < SILENT_CONNECT_NANOS;
    ServiceReach.State reach = execution().gateway().state().reach().state(backend.service());
    return !mayHaveBeenWritten() && (!refused || reach != ServiceReach.State.REACHED);
  }

  @Override
  public void onConnected() {
    execution().gateway().reach().recordReached(System.nanoTime(), backend);
  }

  /** Returns when any part of the body was last received, or when this attempt was created. */
  long writtenNanos() {
    return writtenNanos;
  }

  Backend backend() {
    return backend;
  }

  @Override
  void onSilentStream(long nowNanos, long silentMillis, long timeoutMillis) {
    RunGuard.startSilent(execution(), this, timeoutMillis);
  }

  @Override
  void replaceBroken() {
    RunGuard.startBroken(execution(), this);
  }

  @Override
  EngineId target() {
    return backend.id();
  }

  @Override
  void exclude(long nowNanos, AttemptPlanner planner) {
    planner.exclude(backend.id());
  }

  @Override
  void include(AttemptPlanner planner) {
    planner.include(backend.id());
  }

  @Override
  void onCancelled() {
    reservation.released();
  }

  @Override
  public void onHead(int status, HttpHeaders headers) {
    super.onHead(status, headers);
    EdgeHeaders edgeHeaders = execution().gateway().edgeHeaders();
    otherServer = edgeHeaders.isOtherReceiver(status, headers);
    if (otherServer) {
      execution().gateway().engineContacts().recordOtherServer(lastReceivedNanos(), backend);
      return;
    }
    heardNanos.set(lastReceivedNanos());
    recordContact(lastReceivedNanos());
    boolean signed = edgeHeaders.isSigned(headers);
    recordLimit(edgeHeaders.requestsPerSecond(headers), signed);
    recordRefusalLimit(edgeHeaders.refusalsPerSecond(headers), signed);
    edgeHeaders.pauseMillis(status, headers).ifPresent(this::recordPause);
    if (edgeHeaders.isLeaving(headers)) {
      execution().gateway().state().markLeaving(backend);
    }
  }

  @Override
  public void onBodyPart(byte[] bytes) {
    super.onBodyPart(bytes);
    if (otherServer) {
      return;
    }
    writtenNanos = System.nanoTime();
    heardNanos.set(writtenNanos);
    recordContact(writtenNanos);
  }

  private void recordPause(long millis) {
    long bounded = Math.min(millis, MAX_PAUSE_MILLIS);
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(bounded);
    decision.option().load().pauseUntil(until);
    LOGGER.atInfo().log(
        "gateway: event=pause-answer backend=%s id=%s millis=%s stated=%s",
        backend.id(), execution().id(), bounded, millis);
  }

  private void recordLimit(OptionalDouble perSecond, boolean signed) {
    long now = System.nanoTime();
    BackendLoad load = decision.option().load();
    boolean changed =
        perSecond.isPresent()
            ? load.applyLimit(new StatedLimit(perSecond.getAsDouble(), now))
            : signed && load.endLimit(sentNanos, now);
    if (changed) {
      LOGGER.atInfo().log(
          "gateway: event=limit backend=%s per-second=%s",
          backend.id(), perSecond.isPresent() ? perSecond.getAsDouble() : "none");
    }
  }

  private void recordRefusalLimit(OptionalDouble perSecond, boolean signed) {
    long now = System.nanoTime();
    BackendLoad load = decision.option().load();
    boolean changed =
        perSecond.isPresent()
            ? load.applyRefusalLimit(new StatedLimit(perSecond.getAsDouble(), now))
            : signed && load.endRefusalLimit(sentNanos, now);
    if (changed) {
      LOGGER.atInfo().log(
          "gateway: event=refusal-limit backend=%s per-second=%s",
          backend.id(), perSecond.isPresent() ? perSecond.getAsDouble() : "none");
    }
  }

  @Override
  Optional<SoftwareVersion> version() {
    Backend published = execution().gateway().state().published().backends().get(backend.id());
    boolean startedAgain =
        published != null && published.startedMillis() != backend.startedMillis();
    return startedAgain ? Optional.empty() : backend.version();
  }

  @Override
  void onFirstEvent() {
    long now = System.nanoTime();
    reservation.firstEventReceived(now);
    execution().gateway().state().recordPromptRead(now, backend.id(), execution().size());
  }

  @Override
  void onStreamComplete() {
    succeeded();
  }

  private void succeeded() {
    long now = System.nanoTime();
    reservation.succeeded(now);
    GatewayState state = execution().gateway().state();
    state.quarantine().recordCompletion(execution().traits(), sentNanos, now);
    if (decision.option().load().pollRecovered()) {
      execution().gateway().onBackendReturned(now, backend);
    }
  }

  @Override
  boolean maySendStreamHead(HttpHeaders head) {
    return execution().gateway().edgeHeaders().isSigned(head);
  }

  @Override
  void onResponse(int status, HttpHeaders headers, byte[] body) {
    long now = System.nanoTime();
    EdgeHeaders edgeHeaders = execution().gateway().edgeHeaders();
    edgeHeaders
        .coldMillis(headers)
        .ifPresent(
            millis ->
                decision
                    .option()
                    .load()
                    .markColdUntil(now + TimeUnit.MILLISECONDS.toNanos(millis)));
    if (otherServer) {
      reservation.unreachable(now);
      execution().onAttemptNotRun(this, "another backend server answered");
      return;
    }
    if (edgeHeaders.isNotRun(status, headers)) {
      reservation.refusedAsFull(now);
      execution().onAttemptNotRun(this, "not run, status=" + status);
      return;
    }
    boolean success = status >= 200 && status < 300;
    if (success && (!edgeHeaders.isSigned(headers) || execution().route().streaming())) {
      reservation.failed(now);
      execution().onAttemptFailed(this, true, "unsigned answer");
      return;
    }
    if (success) {
      succeeded();
    } else {
      reservation.answeredWithError(now);
    }
    if (!success && execution().shouldRetryError(status)) {
      execution().retryOrRespond(this, status, execution().responseHeaders(headers), body);
      return;
    }
    if (!success && status < FIRST_SERVER_ERROR && !edgeHeaders.isSigned(headers)) {
      // Passed on, it would say that the request is wrong, and nobody vouches for that.
      execution().onAttemptFailed(this, true, "unsigned answer, status=" + status);
      return;
    }
    if (Gateway.guaranteesNotRun(status)) {
      execution().onAttemptFailed(this, true, "status=" + status + " without a proof");
      return;
    }
    execution().respond(status, execution().responseHeaders(headers), body);
  }
}
