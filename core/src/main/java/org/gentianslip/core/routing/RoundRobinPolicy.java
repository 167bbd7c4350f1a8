package org.gentianslip.core.routing;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Sends requests to the engines of the own region in turn, whatever their load.
 *
 * <p>It serves as a baseline and never sends a request away. Safe for use by several threads.
 */
public final class RoundRobinPolicy implements RoutingPolicy {

  private static final long RETRY_AFTER_MILLIS = 500;

  private final AtomicInteger turn = new AtomicInteger();

  @Override
  public RoutingDecision decide(long nowNanos, RoutingRequest request, RoutingView view) {
    List<EngineView> engines = view.engines();
    if (request.allowedRegions().contains(view.ownRegion()) && !engines.isEmpty()) {
      int start = Math.floorMod(turn.getAndIncrement(), engines.size());
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
