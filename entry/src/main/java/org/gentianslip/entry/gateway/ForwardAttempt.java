package org.gentianslip.entry.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.gentianslip.core.fleet.PeerRecord;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.SoftwareVersion;

/**
 * An attempt at an instance of another region, or at a neighbour that reaches a service which this
 * instance does not; it does not forward the request again. Confined to one event loop.
 */
final class ForwardAttempt extends Attempt {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private static final int OK = 200;

  private final PeerRecord peer;
  private Optional<EngineId> backend = Optional.empty();
  private Optional<SoftwareVersion> version = Optional.empty();
  private boolean answered;

  ForwardAttempt(RequestExecution execution, PeerRecord peer) {
    super(execution);
    this.peer = peer;
  }

  @Override
  void start(long nowNanos, int connectMillis) {
    HttpHeaders headers = execution().requestHeaders();
    headers.set(Gateway.FORWARDED_BY, execution().gateway().state().config().id().value());
    execution().gateway().edgeHeaders().setReceiver(headers, peer.id().value());
    execution().customer().ifPresent(c -> ForwardHeaders.setCustomer(headers, c));
    execution().versions().version().ifPresent(v -> ForwardHeaders.setBegunVersion(headers, v));
    ForwardHeaders.setExcluded(headers, execution().excludedBackends());
    send(peer.forwardAddress(), headers, false, connectMillis);
  }

  @Override
  long oneWayMillis() {
    return execution().gateway().state().forwardTargets().oneWayMillis(peer.region());
  }

  @Override
  void setRemainingMillis(HttpHeaders requestHeaders, long millis) {
    super.setRemainingMillis(requestHeaders, millis);
    requestHeaders.set(Gateway.REMAINING_MILLIS, Long.toString(millis));
  }

  @Override
  void recordFailure(long nowNanos, String cause) {
    execution().gateway().state().forwardTargets().pauseInstance(nowNanos, peer.id());
  }

  private void recordAnswer() {
    if (answered) {
      return;
    }
    answered = true;
    execution()
        .gateway()
        .state()
        .forwardTargets()
        .recordAnswer(System.nanoTime(), peer.region(), execution().service());
  }

  @Override
  void recordSilence(long nowNanos) {}

  @Override
  void recordUnreachable(long nowNanos) {
    execution().gateway().state().forwardTargets().pauseInstance(nowNanos, peer.id());
  }

  @Override
  public void onHead(int status, HttpHeaders headers) {
    backend = ForwardHeaders.ranAt(headers);
    version = ForwardHeaders.version(headers);
    super.onHead(status, headers);
    if (status == OK && !execution().versions().allows(version)) {
      giveUp("instance states version " + version.map(SoftwareVersion::value).orElse("none"));
    }
  }

  /** The instance watches its engine, so the request stays there while it is heard. */
  @Override
  void onSilentStream(long nowNanos, long silentMillis, long timeoutMillis) {
    boolean live = execution().gateway().state().fleet().isLive(nowNanos, peer);
    LOGGER.atInfo().log(
        "gateway: event=silent-forward id=%s instance=%s silent-millis=%s live=%s",
        execution().id(), peer.id(), silentMillis, live);
    if (live && mayHaveBeenWritten()) {
      SilenceMonitor.start(this, timeoutMillis);
    } else {
      execution().replaceSilent(this, silentMillis);
    }
  }

  @Override
  void replaceBroken() {
    execution().startNextAttempt();
  }

  @Override
  EngineId target() {
    return backend.orElseGet(() -> EngineId.of("at:" + peer.id().value()));
  }

  @Override
  void exclude(long nowNanos, AttemptPlanner planner) {
    if (!mayHaveBeenWritten()) {
      recordUnreachable(nowNanos);
      return;
    }
    backend.ifPresentOrElse(planner::exclude, () -> planner.exclude(peer.region()));
  }

  @Override
  void include(AttemptPlanner planner) {
    backend.ifPresent(planner::include);
    planner.include(peer.region());
  }

  @Override
  void onCancelled() {}

  @Override
  Optional<SoftwareVersion> version() {
    return version;
  }

  @Override
  void onFirstEvent() {
    recordAnswer();
  }

  @Override
  void onStreamComplete() {}

  @Override
  boolean maySendStreamHead(HttpHeaders head) {
    return execution().gateway().edgeHeaders().isSigned(head);
  }

  /** Other requests may go to backend servers that this one must not be sent to. */
  private void recordRefusalIfAnyBackendWasAllowed() {
    if (execution().excludedBackends().isEmpty() && !execution().versions().begun()) {
      execution()
          .gateway()
          .state()
          .forwardTargets()
          .recordRefusal(System.nanoTime(), peer.region(), execution().service());
    }
  }

  @Override
  void onResponse(int status, HttpHeaders headers, byte[] body) {
    if (execution().gateway().edgeHeaders().isOtherReceiver(status, headers)) {
      recordUnreachable(System.nanoTime());
      execution().onAttemptNotRun(this, "another receiver answered");
      return;
    }
    String outcome = headers.get(Gateway.OUTCOME, "");
    if (outcome.equals(Gateway.NOT_RUN)
        && headers.get(Gateway.REASON, "").equals(AttemptPlanner.QUARANTINED)) {
      execution().onQuarantined(this);
      return;
    }
    if (outcome.equals(Gateway.NOT_RUN)
        && headers.get(Gateway.REASON, "").equals(CustomerAdmission.CUSTOMER_UNKNOWN)) {
      // Other customers' requests may still go there.
      execution().onAttemptNotRun(this, "instance does not know the customer");
      return;
    }
    if (outcome.equals(Gateway.NOT_RUN)
        && headers.get(Gateway.REASON, "").equals(AttemptPlanner.UNREACHED)) {
      // Other instances of its region may reach the service.
      recordUnreachable(System.nanoTime());
      execution().onAttemptNotRun(this, "instance does not reach the service");
      return;
    }
    if (outcome.equals(Gateway.NOT_RUN)) {
      recordRefusalIfAnyBackendWasAllowed();
      execution().onAttemptNotRun(this, "instance refused");
      return;
    }
    recordAnswer();
    boolean answeredByInstance = outcome.equals(Gateway.UNKNOWN);
    if (answeredByInstance) {
      execution().onAttemptFailed(this, true, "instance answered status=" + status);
      return;
    }
    if (execution().shouldRetryError(status)) {
      execution().retryOrRespond(this, status, execution().responseHeaders(headers), body);
      return;
    }
    execution().respond(status, execution().responseHeaders(headers), body);
  }
}
