package org.gentianslip.core.routing;

import java.util.Comparator;
import java.util.Optional;

/**
 * Sends a request to the engine with the fewest known requests, and away when all are full.
 *
 * <p>It serves as a baseline. Stateless and safe for use by several threads.
 */
public final class LeastLoadedPolicy implements RoutingPolicy {

  private static final long RETRY_AFTER_MILLIS = 500;

  @Override
  public RoutingDecision decide(long nowNanos, RoutingRequest request, RoutingView view) {
    if (request.allowedRegions().contains(view.ownRegion())) {
      Optional<EngineView> engine = leastLoaded(request, view);
      if (engine.isPresent()) {
        return new RoutingDecision.ToEngine(engine.get().id(), RoutingReason.LEAST_LOADED);
      }
    }
    if (!request.forwarded()) {
      Optional<RegionSummary> region = mostSpare(request, view);
      if (region.isPresent()) {
        return new RoutingDecision.ToRegion(region.get().region(), RoutingReason.SPILL);
      }
    }
    return new RoutingDecision.Refuse(RETRY_AFTER_MILLIS, RoutingReason.NO_ENGINE);
  }

  private static Optional<EngineView> leastLoaded(RoutingRequest request, RoutingView view) {
    return view.engines().stream()
        .filter(EngineView::usable)
        .filter(e -> e.models().contains(request.model()))
        .filter(e -> e.inFlight() < e.slots())
        .min(Comparator.comparingInt(LeastLoadedPolicy::load).thenComparing(EngineView::id));
  }

  private static int load(EngineView engine) {
    return Math.max(engine.inFlight(), engine.reportedRunning() + engine.reportedWaiting());
  }

  private static Optional<RegionSummary> mostSpare(RoutingRequest request, RoutingView view) {
    return view.regions().stream()
        .filter(RegionSummary::reachable)
        .filter(r -> r.freeSlots() > 0)
        .filter(r -> request.allowedRegions().contains(r.region()))
        .max(Comparator.comparingInt(RegionSummary::freeSlots));
  }
}
