package org.gentianslip.core.routing;

import java.util.Optional;

/**
 * Sends requests with equal prefixes to the same engine as long as that engine is within its load
 * bound.
 *
 * <p>If no engine of the local region has free capacity, the request is sent to the region with the
 * most spare capacity, or waits if there is no such region. Stateless except for its seed, and
 * thread-safe.
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

  /** Returns a policy whose hashes use the given seed. */
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
