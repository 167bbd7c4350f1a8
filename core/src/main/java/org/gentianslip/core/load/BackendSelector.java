package org.gentianslip.core.load;

import java.util.List;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.route.Route;

/**
 * Selects where a request is served: by a backend server of this region or by another region.
 *
 * <p>The target with the lowest cost is selected. The cost is the expected time to the first part
 * of the answer plus penalties for prefilling a shared prompt again and for sending the body to
 * another region. Stateless and thread-safe.
 */
public final class BackendSelector {

  /**
   * The cost of a shared token that is prefilled again, in milliseconds. The prefill takes engine
   * time from other requests.
   */
  private static final double MILLIS_PER_SHARED_TOKEN = 0.02;

  /** The cost of a shared token that is copied from another engine, in milliseconds. */
  private static final double MILLIS_PER_FETCHED_TOKEN = 0.003;

  /** The cost of a byte of the body that is sent to another region, in milliseconds. */
  private static final double MILLIS_PER_AWAY_BYTE = 0.0025;

  /**
   * How much higher the cost of the preferred engine of a prompt may be than that of another
   * engine, in milliseconds.
   */
  private static final double PREFERENCE_MILLIS = 60;

  /** How much lower the cost of another region must be, in milliseconds. */
  private static final double AWAY_MARGIN_MILLIS = 60;

  /** A backend server with this number of requests per slot is not selected. */
  private static final int MAX_FILL = 3;

  /** An urgent request must be expected to be answered within this multiple of its objective. */
  private static final double URGENT_LIMIT = 1.5;

  /**
   * A request of another rank must be expected to be answered within this share of its objective.
   */
  private static final double OTHER_LIMIT = 0.9;

  /** The answer must be expected within this share of the time that the caller still waits. */
  private static final double REMAINING_SHARE = 0.8;

  /**
   * The excess reported while no backend server is known, in milliseconds: about the time to find
   * one.
   */
  private static final double UNKNOWN_EXCESS_MILLIS = 200;

  private BackendSelector() {}

  /**
   * Selects a backend server or another region, or refuses the request.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @param route the route of the request
   * @param size the size of the request
   * @param remainingMillis how long the caller still waits, in milliseconds
   * @param candidates the backend servers of this region to choose from
   * @param regions the other regions that may serve the request
   */
  public static BackendDecision choose(
      long nowNanos,
      Route route,
      RequestSize size,
      long remainingMillis,
      Candidates candidates,
      List<RegionOption> regions) {
    BackendOption best = null;
    BackendEstimate bestEstimate = null;
    double bestCost = Double.MAX_VALUE;
    boolean urgent = route.rank() == 0;
    EngineId preferred = candidates.preferred().orElse(null);
    List<BackendOption> options = candidates.options();
    double least = Double.MAX_VALUE;
    for (BackendOption option : options) {
      BackendEstimate e = option.load().estimate(nowNanos, urgent, size, option.fetch());
      least = Math.min(least, e.totalMillis());
      if (e.running() >= e.slots() * MAX_FILL) {
        continue;
      }
      double cost = cost(e);
      boolean isPreferred = option.backend().id().equals(preferred);
      cost -= isPreferred ? PREFERENCE_MILLIS : 0;
      if (cost < bestCost) {
        best = option;
        bestEstimate = e;
        bestCost = cost;
      }
    }
    RegionOption away = null;
    double awayCost = Double.MAX_VALUE;
    for (RegionOption region : regions) {
      double cost = awayCost(size, region);
      least = Math.min(least, awayMillis(size, region));
      if (cost < awayCost) {
        away = region;
        awayCost = cost;
      }
    }
    double limit = limitMillis(route, remainingMillis);
    boolean hereInTime = best != null && bestEstimate.totalMillis() <= limit;
    if (hereInTime && (away == null || bestCost <= awayCost + AWAY_MARGIN_MILLIS)) {
      return new BackendDecision.ToBackend(best, bestEstimate);
    }
    if (away != null && awayMillis(size, away) <= limit) {
      return new BackendDecision.ToRegion(away.region(), awayMillis(size, away));
    }
    if (hereInTime) {
      return new BackendDecision.ToBackend(best, bestEstimate);
    }
    boolean nowhere = options.isEmpty() && regions.isEmpty();
    double excess = nowhere ? UNKNOWN_EXCESS_MILLIS : Math.max(0, least - limit);
    return new BackendDecision.Refuse(nowhere ? "no-backend" : "too-late", excess);
  }

  private static double limitMillis(Route route, long remainingMillis) {
    double share = route.rank() == 0 ? URGENT_LIMIT : OTHER_LIMIT;
    return Math.min(share * route.objectiveMillis(), REMAINING_SHARE * remainingMillis);
  }

  private static double cost(BackendEstimate e) {
    return e.totalMillis()
        + e.sharedPrefillTokens() * MILLIS_PER_SHARED_TOKEN
        + e.copiedTokens() * MILLIS_PER_FETCHED_TOKEN
        + e.failureMillis();
  }

  private static double awayMillis(RequestSize size, RegionOption region) {
    long tokens = size.promptTokens() - (region.hasPrompt() ? size.sharedTokens() : 0);
    double reading = tokens / BackendLoad.TOKENS_PER_MILLI;
    return region.roundTripMillis() + region.waitMillis() + reading;
  }

  private static double awayCost(RequestSize size, RegionOption region) {
    long again = region.hasPrompt() ? 0 : size.sharedTokens();
    return awayMillis(size, region)
        + again * MILLIS_PER_SHARED_TOKEN
        + size.bodyBytes() * MILLIS_PER_AWAY_BYTE;
  }
}
