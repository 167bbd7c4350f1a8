package org.gentianslip.core.load;

import java.util.List;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.route.Route;

/**
 * Chooses where a request goes: the place with the least expected time, with a charge for prompts
 * that are read again and for bytes that leave the region. Stateless and safe for use by several
 * threads.
 */
public final class BackendSelector {

  /**
   * The charge for a shared token that is read again, in milliseconds: reading it again takes an
   * engine's time from others.
   */
  private static final double MILLIS_PER_SHARED_TOKEN = 0.02;

  /** The same for a shared token that is copied from another engine. */
  private static final double MILLIS_PER_FETCHED_TOKEN = 0.003;

  /** The charge for a byte of a body that leaves the region, in milliseconds. */
  private static final double MILLIS_PER_AWAY_BYTE = 0.0025;

  /** How much longer the preferred engine of an unknown prompt may take, in milliseconds. */
  private static final double PREFERENCE_MILLIS = 60;

  /** How much sooner another region must be expected to answer, in milliseconds. */
  private static final double AWAY_MARGIN_MILLIS = 60;

  /** The greatest number of requests at a backend server, in multiples of its slots. */
  private static final int MAX_FILL = 3;

  /** The parts of a route's objective within which urgent and other work must be expected. */
  private static final double URGENT_LIMIT = 1.5;

  private static final double OTHER_LIMIT = 0.9;

  /** The part of the remaining time within which an answer must be expected. */
  private static final double REMAINING_SHARE = 0.8;

  /** The excess that is told while no backend server is known: about the time to find one. */
  private static final double UNKNOWN_EXCESS_MILLIS = 200;

  private BackendSelector() {}

  /**
   * Chooses.
   *
   * @param remainingMillis how long the caller waits, in milliseconds
   * @param candidates the backend servers of this region to weigh
   * @param regions the regions that may get it
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
