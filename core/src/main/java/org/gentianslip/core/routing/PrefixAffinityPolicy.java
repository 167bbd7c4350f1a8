package org.gentianslip.core.routing;

import java.util.Optional;

/**
 * Sends requests with equal prefixes to the same engine while that engine is within its load bound.
 *
 * <p>When no engine of the own region has room, it sends the request to the region with the most
 * spare capacity, and lets it wait when there is none. Stateless but for its tuning and safe for
 * use by several threads.
 *
 * @see EngineChoice
 */
public final class PrefixAffinityPolicy implements RoutingPolicy {

  private static final long RETRY_AFTER_MILLIS = 500;
  private static final long WAIT_NANOS = 50_000_000;

  private final EngineChoice choice;

  private PrefixAffinityPolicy(EngineChoice choice) {
    this.choice = choice;
  }

  /** Returns a policy whose hashes are drawn with the given seed. */
  public static PrefixAffinityPolicy withSeed(long seed) {
    return new PrefixAffinityPolicy(EngineChoice.withSeed(seed));
  }

  @Override
  public RoutingDecision decide(long nowNanos, RoutingRequest request, RoutingView view) {
    boolean local = request.allowedRegions().contains(view.ownRegion());
    if (local) {
      Optional<RoutingDecision.ToEngine> engine =
          choice.choose(request, view, RoomRule.WITHIN_LIMIT);
      if (engine.isPresent()) {
        return engine.get();
      }
    }
    RegionSummary away = request.forwarded() ? null : mostSpare(request, view);
    if (away != null) {
      return new RoutingDecision.ToRegion(away.region(), RoutingReason.SPILL);
    }
    if (local && EngineChoice.anyServes(request, view)) {
      return new RoutingDecision.Wait(nowNanos + WAIT_NANOS, RoutingReason.ENGINES_BUSY);
    }
    return new RoutingDecision.Refuse(RETRY_AFTER_MILLIS, RoutingReason.NO_ENGINE);
  }

  private static RegionSummary mostSpare(RoutingRequest request, RoutingView view) {
    RegionSummary best = null;
    for (RegionSummary region : view.regions()) {
      if (!region.reachable()
          || region.quota() <= 0
          || !request.allowedRegions().contains(region.region())) {
        continue;
      }
      if (best == null || region.freeSlots() > best.freeSlots()) {
        best = region;
      }
    }
    return best;
  }
}
