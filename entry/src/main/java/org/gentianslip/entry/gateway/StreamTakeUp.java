package org.gentianslip.entry.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.route.Repeatability;
import org.gentianslip.core.route.Route;
import org.gentianslip.core.stream.TakeUp;
import org.gentianslip.core.stream.TakeUpClaim;
import org.gentianslip.core.stream.TakeUpRule;

/**
 * Reads from a request whether it goes on with a stream, and decides at which version.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class StreamTakeUp {

  /** The ids of attempts, and the letters of each, in one log line. */
  private static final int LOGGED_IDS = 4;

  private static final int LOGGED_LETTERS = 64;

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private final GatewayState state;
  private final EdgeHeaders edgeHeaders;
  private final GatewayMetrics metrics;

  StreamTakeUp(GatewayState state, EdgeHeaders edgeHeaders, GatewayMetrics metrics) {
    this.state = state;
    this.edgeHeaders = edgeHeaders;
    this.metrics = metrics;
  }

  /** Returns whether the streams of a route may go on at another backend server. */
  static boolean concerns(Route route) {
    return route.streaming() && route.repeatability() == Repeatability.RESUMABLE;
  }

  /**
   * Returns the id of the attempt that began the stream which a request takes up, or the id of the
   * request. A route that is split serves both by the same service.
   */
  String streamId(BufferedHttpRequest request, Route route, String id) {
    List<String> resumed = edgeHeaders.resumedAttempts(request.headers());
    return concerns(route) && resumed.size() == 1 ? resumed.get(0) : id;
  }

  /**
   * Decides at which version a request may run.
   *
   * @param forwarded whether another instance forwards the request
   */
  TakeUp decide(
      long nowNanos,
      BufferedHttpRequest request,
      Route route,
      ServiceId service,
      boolean forwarded) {
    if (!concerns(route) || !namesStream(request, forwarded)) {
      return new TakeUp.Fresh();
    }
    TakeUpClaim claim = claim(request, route, service, forwarded);
    // Read before the history, which then contains all changes up to that time.
    long completeNanos = state.completeNanos();
    TakeUp result =
        new TakeUpRule(state.streamOrigins(), state.versionHistory())
            .decide(nowNanos, claim, completeNanos);
    if (!(result instanceof TakeUp.Fresh)) {
      metrics.countTakeUp(describe(result));
      log(nowNanos, request, claim, nowNanos - completeNanos, result);
    }
    return result;
  }

  private boolean namesStream(BufferedHttpRequest request, boolean forwarded) {
    return request.headers().contains(edgeHeaders.lastEventId())
        || !edgeHeaders.resumedAttempts(request.headers()).isEmpty()
        || (forwarded && ForwardHeaders.statesBegunVersion(request.headers()));
  }

  private TakeUpClaim claim(
      BufferedHttpRequest request, Route route, ServiceId service, boolean forwarded) {
    List<String> resumed = edgeHeaders.resumedAttempts(request.headers());
    return new TakeUpClaim(
        !resumed.isEmpty() || request.headers().contains(edgeHeaders.lastEventId()),
        forwarded && ForwardHeaders.statesBegunVersion(request.headers()),
        ForwardHeaders.begunVersion(request.headers()),
        resumed,
        service,
        state.longestStreamNanos(),
        request.receivedNanos());
  }

  private static String describe(TakeUp result) {
    if (result instanceof TakeUp.AtVersion known) {
      return known.reason().name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
    return result instanceof TakeUp.Unconfirmed ? "unconfirmed" : "unknown";
  }

  private void log(
      long nowNanos, BufferedHttpRequest request, TakeUpClaim claim, long ageNanos, TakeUp result) {
    LOGGER.atInfo().log(
        "gateway: event=take-up id=%s resumes=%s version=%s reason=%s service=%s age=%s known=%s",
        request.headers().get(edgeHeaders.requestId(), ""),
        claim.resumed().stream().limit(LOGGED_IDS).map(StreamTakeUp::cut).toList(),
        result instanceof TakeUp.AtVersion known ? known.version() : "none",
        describe(result),
        claim.service(),
        TimeUnit.NANOSECONDS.toMillis(ageNanos),
        state
            .versionHistory()
            .knownSinceNanos()
            .map(since -> TimeUnit.NANOSECONDS.toMillis(nowNanos - since))
            .orElse(-1L));
  }

  private static String cut(String id) {
    return id.substring(0, Math.min(LOGGED_LETTERS, id.length()));
  }
}
