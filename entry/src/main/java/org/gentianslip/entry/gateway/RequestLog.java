package org.gentianslip.entry.gateway;

import com.google.common.flogger.FluentLogger;
import org.gentianslip.entry.explain.DecisionLog;

/** Records the decisions for one request and logs them when it ends. Confined to one event loop. */
final class RequestLog {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private final String id;
  private final BufferedHttpRequest request;
  private final AdmissionResult.Admitted admitted;
  private final boolean forwarded;
  private final DecisionLog.Trace trace;
  private final StringBuilder trail = new StringBuilder();

  RequestLog(
      String id,
      BufferedHttpRequest request,
      AdmissionResult.Admitted admitted,
      boolean forwarded,
      DecisionLog.Trace trace) {
    this.id = id;
    this.request = request;
    this.admitted = admitted;
    this.forwarded = forwarded;
    this.trace = trace;
    String from = forwarded ? "another instance" : "a caller";
    addStep(
        request.receivedNanos(),
        "received",
        from,
        "route " + admitted.route().name() + " customer " + admitted.customerName());
  }

  /**
   * Records an attempt.
   *
   * @param kind the kind of target: a backend server or an instance
   * @param target the id of the target
   * @param reason the estimates behind the decision
   */
  void recordAttempt(long nowNanos, String kind, String target, String reason) {
    appendTrail(kind + "=" + target + " " + reason);
    addStep(nowNanos, kind, target, reason);
  }

  /** Records an event of the current attempt. */
  void recordEvent(long nowNanos, String event) {
    appendTrail(event);
    addStep(nowNanos, "seen", "", event);
  }

  /** Records the head of an answer and its connection, for the log only. */
  void recordHead(int status, String connectionUse) {
    appendTrail("head=" + status + " connection=" + connectionUse);
  }

  private void appendTrail(String step) {
    trail.append(trail.length() == 0 ? "" : "; ").append(step);
  }

  private void addStep(long nowNanos, String step, String target, String reason) {
    trace.add(new DecisionLog.Step(request.elapsedMillis(nowNanos), step, target, reason));
  }

  /**
   * Records the outcome and logs the request.
   *
   * @param version the version of the configuration in force
   */
  void finish(long nowNanos, long version, String outcome) {
    addStep(nowNanos, "ended", "", outcome);
    LOGGER.atInfo().log(
        "gateway: event=request id=%s route=%s customer=%s rank=%s version=%s forwarded=%s"
            + " millis=%s trail=[%s] outcome=%s",
        id,
        admitted.route().name(),
        admitted.customerName(),
        admitted.route().rank(),
        version,
        forwarded,
        request.elapsedMillis(nowNanos),
        trail,
        outcome);
  }
}
