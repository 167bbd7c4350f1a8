package org.gentianslip.entry.gateway;

import com.google.common.flogger.FluentLogger;
import org.gentianslip.core.route.Route;

/**
 * Collects what was decided for one request and logs it at its end. Used on one event loop only.
 */
final class RequestLog {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private final String id;
  private final IncomingRequest request;
  private final Route route;
  private final boolean forwarded;
  private final StringBuilder trail = new StringBuilder();

  RequestLog(String id, IncomingRequest request, Route route, boolean forwarded) {
    this.id = id;
    this.request = request;
    this.route = route;
    this.forwarded = forwarded;
  }

  /** Adds a decision or what it led to. */
  void step(String step) {
    trail.append(trail.length() == 0 ? "" : "; ").append(step);
  }

  /**
   * Logs the request.
   *
   * @param version the version of the configuration in force
   */
  void end(long nowNanos, long version, String outcome) {
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
