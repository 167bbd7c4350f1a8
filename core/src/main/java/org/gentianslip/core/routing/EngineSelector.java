package org.gentianslip.core.routing;

import java.util.List;
import java.util.Optional;
import org.gentianslip.core.hash.BitMixer;

/**
 * Selects an engine of the local region by prefix affinity with bounded loads.
 *
 * <p>The three engines with the highest rendezvous scores for the prefix are tried in order; the
 * first that is within the load bound and has free capacity is selected. If there is none, the less
 * loaded of two engines drawn by the request's id is selected, and if neither has free capacity,
 * the least loaded of all engines. An engine is within the load bound while its load is at most
 * {@value #LOAD_BOUND_FACTOR} times the mean load of the engines that serve the model, in
 * proportion to its slots, plus {@value #LOAD_BOUND_SLACK} requests.
 *
 * <p>Stateless except for its seed and thread-safe.
 */
final class EngineSelector {

  private static final double LOAD_BOUND_FACTOR = 1.25;
  private static final double LOAD_BOUND_SLACK = 1.0;
  private static final int AFFINITY_CHOICES = 3;

  private final long seed;

  private EngineSelector(long seed) {
    this.seed = seed;
  }

  static EngineSelector withSeed(long seed) {
    return new EngineSelector(seed);
  }

  /**
   * Returns whether an engine of the local region serves the model, with or without free capacity.
   */
  static boolean anyServes(RoutingRequest request, RoutingView view) {
    for (EngineView engine : view.engines()) {
      if (engine.serves(request.model())) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns the selected engine, or nothing if no engine that serves the model has free capacity by
   * the rule.
   */
  Optional<RoutingDecision.ToEngine> select(
      RoutingRequest request, RoutingView view, CapacityRule rule) {
    double loadBoundPerSlot = loadBoundPerSlot(request, view);
    EngineView preferred = selectByPrefix(request, view, rule, loadBoundPerSlot);
    if (preferred != null) {
      return Optional.of(
          new RoutingDecision.ToEngine(preferred.id(), RoutingReason.PREFIX_AFFINITY));
    }
    EngineView fallback = selectFromTwo(request, view.engines(), rule);
    if (fallback == null) {
      fallback = selectLeastLoaded(request, view.engines(), rule);
    }
    return Optional.ofNullable(fallback)
        .map(e -> new RoutingDecision.ToEngine(e.id(), RoutingReason.LEAST_LOADED));
  }

  private static double loadBoundPerSlot(RoutingRequest request, RoutingView view) {
    long slots = 0;
    long load = 0;
    for (EngineView engine : view.engines()) {
      if (engine.serves(request.model())) {
        slots += engine.slots();
        load += engine.load();
      }
    }
    return slots == 0 ? 0 : LOAD_BOUND_FACTOR * load / slots;
  }

  private EngineView selectByPrefix(
      RoutingRequest request, RoutingView view, CapacityRule rule, double loadBoundPerSlot) {
    long key = request.prefixDigest() ^ seed;
    long scoreLimit = Long.MAX_VALUE;
    for (int i = 0; i < AFFINITY_CHOICES; i++) {
      EngineView best = null;
      long bestScore = Long.MIN_VALUE;
      for (EngineView engine : view.engines()) {
        long score = BitMixer.rendezvousScore(key, engine.id().value());
        if (score > bestScore && score < scoreLimit && engine.serves(request.model())) {
          best = engine;
          bestScore = score;
        }
      }
      if (best == null) {
        return null;
      }
      if (rule.hasCapacity(best)
          && best.load() <= loadBoundPerSlot * best.slots() + LOAD_BOUND_SLACK) {
        return best;
      }
      scoreLimit = bestScore;
    }
    return null;
  }

  private EngineView selectFromTwo(
      RoutingRequest request, List<EngineView> engines, CapacityRule rule) {
    if (engines.isEmpty()) {
      return null;
    }
    long bits = BitMixer.mix(request.id().value().hashCode() ^ seed);
    EngineView first = engines.get((int) Long.remainderUnsigned(bits, engines.size()));
    EngineView second = engines.get((int) Long.remainderUnsigned(bits >>> 32, engines.size()));
    return lessLoaded(request, lessLoaded(request, null, first, rule), second, rule);
  }

  private static EngineView selectLeastLoaded(
      RoutingRequest request, List<EngineView> engines, CapacityRule rule) {
    EngineView best = null;
    for (EngineView engine : engines) {
      best = lessLoaded(request, best, engine, rule);
    }
    return best;
  }

  private static EngineView lessLoaded(
      RoutingRequest request, EngineView best, EngineView engine, CapacityRule rule) {
    if (!rule.hasCapacity(engine) || !engine.serves(request.model())) {
      return best;
    }
    if (best == null || relativeLoad(engine) < relativeLoad(best)) {
      return engine;
    }
    return best;
  }

  private static double relativeLoad(EngineView engine) {
    return (double) engine.load() / engine.slots();
  }
}
