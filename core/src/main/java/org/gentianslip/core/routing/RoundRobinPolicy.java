package org.gentianslip.core.routing;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Sends requests to the engines of the local region in turn, regardless of their load.
 *
 * <p>This policy serves as a baseline for comparisons and never sends a request to another region.
 * Thread-safe.
 */
public final class RoundRobinPolicy implements RoutingPolicy {

  private static final long RETRY_AFTER_MILLIS = 500;

  private final AtomicInteger nextIndex = new AtomicInteger();

  @Override
  public RoutingDecision decide(long nowNanos, RoutingRequest request, RoutingView view) {
    List<EngineView> engines = view.engines();
    if (request.allowedRegions().contains(view.ownRegion()) && !engines.isEmpty()) {
      int start = Math.floorMod(nextIndex.getAndIncrement(), engines.size());
      for (int i = 0; i < engines.size(); i++) {
        EngineView engine = engines.get((start + i) % engines.size());
        if (engine.serves(request.model())) {
          return new RoutingDecision.ToEngine(engine.id(), RoutingReason.ROUND_ROBIN);
        }
      }
    }
    return new RoutingDecision.Refuse(RETRY_AFTER_MILLIS, RoutingReason.NO_ENGINE);
  }
}
