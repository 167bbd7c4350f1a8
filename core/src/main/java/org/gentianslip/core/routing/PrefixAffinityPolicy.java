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
 * @see EngineSelector
 */
public final class PrefixAffinityPolicy implements RoutingPolicy {

  private static final long RETRY_AFTER_MILLIS = 500;
  private static final long MAX_WAIT_NANOS = 50_000_000;

  private final EngineSelector engineSelector;

  private PrefixAffinityPolicy(EngineSelector engineSelector) {
    this.engineSelector = engineSelector;
  }

  /** Returns a policy whose hashes use the given seed. */
  public static PrefixAffinityPolicy withSeed(long seed) {
    return new PrefixAffinityPolicy(EngineSelector.withSeed(seed));
  }

  @Override
  public RoutingDecision decide(long nowNanos, RoutingRequest request, RoutingView view) {
    boolean local = request.allowedRegions().contains(view.ownRegion());
    if (local) {
      Optional<RoutingDecision.ToEngine> engine =
          engineSelector.select(request, view, CapacityRule.WITHIN_LIMIT);
      if (engine.isPresent()) {
        return engine.get();
      }
    }
    RegionSummary remote = request.forwarded() ? null : regionWithMostSpareCapacity(request, view);
    if (remote != null) {
      return new RoutingDecision.ToRegion(remote.region(), RoutingReason.SPILL);
    }
    if (local && EngineSelector.anyServes(request, view)) {
      return new RoutingDecision.Wait(nowNanos + MAX_WAIT_NANOS, RoutingReason.ENGINES_BUSY);
    }
    return new RoutingDecision.Refuse(RETRY_AFTER_MILLIS, RoutingReason.NO_ENGINE);
  }

  private static RegionSummary regionWithMostSpareCapacity(
      RoutingRequest request, RoutingView view) {
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
