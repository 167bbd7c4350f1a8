package org.gentianslip.core.load;

import java.util.List;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.published.Backend;
import org.gentianslip.core.route.Route;

/**
 * Selects where a request is served: by a backend server of this region or by another region.
 *
 * <p>The target with the lowest cost is selected. The cost is the expected time to the first part
 * of the answer plus penalties for prefilling a shared prompt again, for recent failures and for
 * sending the body to another region. Only the expected time decides whether a region is too late.
 * Stateless and thread-safe.
 */
public final class BackendSelector {

  /**
   * The cost of a shared token that is prefilled again, in milliseconds. The prefill takes engine
   * time from other requests.
   */
  private static final double COST_MILLIS_PER_PREFILLED_TOKEN = 0.02;

  /** The cost of a shared token that is copied from another engine, in milliseconds. */
  private static final double COST_MILLIS_PER_COPIED_TOKEN = 0.003;

  /** The cost of a byte of the body that is sent to another region, in milliseconds. */
  private static final double COST_MILLIS_PER_REMOTE_BYTE = 0.0025;

  /** The cost of a byte that is sent to another data centre of the region, in milliseconds. */
  private static final double COST_MILLIS_PER_CENTRE_BYTE = 0.002;

  /** The bytes of the heads and of the answer of a usual request. */
  private static final int HEAD_AND_ANSWER_BYTES = 2_000;

  /**
   * How much higher the cost of the preferred engine of a prompt may be than that of another
   * engine, in milliseconds.
   */
  private static final double PREFERENCE_MILLIS = 60;

  /**
   * How much lower than the cost of the best backend server of this region the cost of another
   * region must be, in milliseconds.
   */
  private static final double REMOTE_MARGIN_MILLIS = 60;

  /** A backend server with this number of requests per slot is not selected. */
  private static final int MAX_REQUESTS_PER_SLOT = 3;

  /** An urgent request must be expected to be answered within this multiple of its objective. */
  private static final double URGENT_OBJECTIVE_FACTOR = 1.5;

  /**
   * A request of another rank must be expected to be answered within this share of its objective.
   */
  private static final double OTHER_OBJECTIVE_FACTOR = 0.9;

  /** The answer must be expected within this share of the time that the caller still waits. */
  private static final double REMAINING_SHARE = 0.8;

  /**
   * The excess reported while no backend server is known, in milliseconds: about the time to find
   * one.
   */
  private static final double UNKNOWN_EXCESS_MILLIS = 200;

  /** The reason for refusing a request while all backend servers and regions pause. */
  public static final String PAUSED = "paused";

  private static final double NANOS_PER_MILLI = 1e6;

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
  public static BackendDecision select(
      long nowNanos,
      Route route,
      RequestSize size,
      long remainingMillis,
      Candidates candidates,
      List<RegionOption> regions) {
    return select(nowNanos, route, size, remainingMillis, candidates, regions, 1);
  }

  /**
   * Selects as the other method does, with a shorter wait for a customer beyond its share.
   *
   * @param limitFactor the part of the time left for waiting that may be used, from above 0 to 1
   */
  public static BackendDecision select(
      long nowNanos,
      Route route,
      RequestSize size,
      long remainingMillis,
      Candidates candidates,
      List<RegionOption> regions,
      double limitFactor) {
    BackendOption best = null;
    BackendEstimate bestEstimate = null;
    double bestCost = Double.MAX_VALUE;
    boolean urgent = route.rank() == 0;
    EngineId preferred = candidates.preferred().orElse(null);
    List<BackendOption> options = candidates.options();
    double shortestMillis = Double.MAX_VALUE;
    for (BackendOption option : options) {
      BackendEstimate estimate = option.load().estimate(nowNanos, urgent, size, option.fetch());
      shortestMillis = Math.min(shortestMillis, estimate.totalMillis());
      if (estimate.running() >= estimate.slots() * MAX_REQUESTS_PER_SLOT) {
        continue;
      }
      double cost = cost(estimate) + distanceCost(size, option.backend(), candidates);
      boolean isPreferred = option.backend().id().equals(preferred);
      cost -= isPreferred ? PREFERENCE_MILLIS : 0;
      if (cost < bestCost) {
        best = option;
        bestEstimate = estimate;
        bestCost = cost;
      }
    }
    double limitMillis = limitMillis(route, remainingMillis);
    RegionOption remote = null;
    boolean mayUseRegion = false;
    double pauseMillis = Double.MAX_VALUE;
    double remoteCost = Double.MAX_VALUE;
    for (RegionOption region : regions) {
      if (region.delayMillis() > 0) {
        pauseMillis = Math.min(pauseMillis, region.delayMillis());
        continue;
      }
      mayUseRegion = true;
      double millis = remoteMillis(size, region);
      boolean late = isLate(millis, region.stated().waitMillis(), limitMillis, limitFactor);
      shortestMillis =
          Math.min(
              shortestMillis,
              late ? Math.max(millis, limitMillis + region.renewalMillis()) : millis);
      double cost = remoteCost(size, region);
      if (!late && cost < remoteCost) {
        remote = region;
        remoteCost = cost;
      }
    }
    boolean localInTime =
        best != null
            && !isLate(
                bestEstimate.totalMillis(), bestEstimate.waitMillis(), limitMillis, limitFactor);
    if (localInTime && (remote == null || bestCost <= remoteCost + REMOTE_MARGIN_MILLIS)) {
      return new BackendDecision.ToBackend(best, bestEstimate);
    }
    if (remote != null) {
      return new BackendDecision.ToRegion(remote.region(), remoteMillis(size, remote));
    }
    if (localInTime) {
      return new BackendDecision.ToBackend(best, bestEstimate);
    }
    if (candidates.pauseNanos() > 0) {
      pauseMillis = Math.min(pauseMillis, candidates.pauseNanos() / NANOS_PER_MILLI);
    }
    boolean noTarget = options.isEmpty() && !mayUseRegion;
    double excessMillis =
        noTarget ? UNKNOWN_EXCESS_MILLIS : Math.max(0, shortestMillis - limitMillis);
    boolean isPauseShorter = noTarget ? pauseMillis < Double.MAX_VALUE : pauseMillis < excessMillis;
    if (options.isEmpty() && isPauseShorter) {
      return new BackendDecision.Refuse(PAUSED, pauseMillis);
    }
    return new BackendDecision.Refuse(
        noTarget ? "no-backend" : "too-late", Math.min(excessMillis, pauseMillis));
  }

  /** Returns whether a request is too late, or waits longer than its customer's share allows. */
  private static boolean isLate(
      double totalMillis, double waitMillis, double limitMillis, double waitFactor) {
    double roomMillis = limitMillis - (totalMillis - waitMillis);
    return totalMillis > limitMillis || waitMillis > waitFactor * roomMillis;
  }

  private static double limitMillis(Route route, long remainingMillis) {
    double factor = route.rank() == 0 ? URGENT_OBJECTIVE_FACTOR : OTHER_OBJECTIVE_FACTOR;
    return Math.min(factor * route.objectiveMillis(), REMAINING_SHARE * remainingMillis);
  }

  private static double cost(BackendEstimate estimate) {
    return estimate.totalMillis()
        + estimate.sharedPrefillTokens() * COST_MILLIS_PER_PREFILLED_TOKEN
        + estimate.copiedTokens() * COST_MILLIS_PER_COPIED_TOKEN
        + estimate.failureMillis();
  }

  /** Returns the cost of the bytes that a request takes to another data centre and back. */
  private static double distanceCost(RequestSize size, Backend backend, Candidates candidates) {
    boolean near = candidates.ownDataCentre().map(backend.dataCentre()::equals).orElse(true);
    return near ? 0 : (size.bodyBytes() + HEAD_AND_ANSWER_BYTES) * COST_MILLIS_PER_CENTRE_BYTE;
  }

  private static double remoteMillis(RequestSize size, RegionOption region) {
    long tokens = size.promptTokens() - (region.hasPrompt() ? size.sharedTokens() : 0);
    double prefillMillis = tokens / BackendLoad.PREFILL_TOKENS_PER_MILLI;
    return region.roundTripMillis() + region.stated().waitMillis() + prefillMillis;
  }

  private static double remoteCost(RequestSize size, RegionOption region) {
    long recomputedTokens = region.hasPrompt() ? 0 : size.sharedTokens();
    return remoteMillis(size, region)
        + region.stated().failureMillis()
        + recomputedTokens * COST_MILLIS_PER_PREFILLED_TOKEN
        + size.bodyBytes() * COST_MILLIS_PER_REMOTE_BYTE;
  }
}
