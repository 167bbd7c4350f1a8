package org.gentianslip.entry.gateway;

import com.google.common.flogger.FluentLogger;
import org.gentianslip.core.route.Route;
import org.gentianslip.entry.explain.DecisionLog;

/**
 * Collects what was decided for one request and logs it at its end. Used on one event loop only.
 */
final class RequestLog {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private final String id;
  private final IncomingRequest request;
  private final Route route;
  private final boolean forwarded;
  private final DecisionLog.Trace account;
  private final StringBuilder trail = new StringBuilder();

  RequestLog(
      String id,
      IncomingRequest request,
      Route route,
      boolean forwarded,
      DecisionLog.Trace account) {
    this.id = id;
    this.request = request;
    this.route = route;
    this.forwarded = forwarded;
    this.account = account;
    String from = forwarded ? "another instance" : "a caller";
    explain(request.receivedNanos(), "received", from, "route " + route.name());
  }

  /** Adds that the request is sent to a place. */
  void sent(long nowNanos, String kind, String place, String reason) {
    trail(kind + "=" + place + " " + reason);
    explain(nowNanos, kind, place, reason);
  }

  /** Adds what was seen of an attempt. */
  void seen(long nowNanos, String what) {
    trail(what);
    explain(nowNanos, "seen", "", what);
  }

  private void trail(String step) {
    trail.append(trail.length() == 0 ? "" : "; ").append(step);
  }

  private void explain(long nowNanos, String step, String target, String reason) {
    account.add(new DecisionLog.Step(request.elapsedMillis(nowNanos), step, target, reason));
  }

  /**
   * Logs the request.
   *
   * @param version the version of the configuration in force
   */
  void end(long nowNanos, long version, String outcome) {
    explain(nowNanos, "ended", "", outcome);
    LOGGER.atInfo().log(
        "gateway: event=request id=%s route=%s rank=%s version=%s forwarded=%s millis=%s trail=[%s]"
            + " outcome=%s",
        id,
        route.name(),
        route.rank(),
        version,
        forwarded,
        request.elapsedMillis(nowNanos),
        trail,
        outcome);
  }
}
