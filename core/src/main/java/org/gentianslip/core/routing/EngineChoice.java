package org.gentianslip.core.routing;

import java.util.List;
import java.util.Optional;
import org.gentianslip.core.hash.BitMixer;

/**
 * Chooses an engine of the own region by prefix affinity with a load bound.
 *
 * <p>The first of the prefix's three best rendezvous choices that is within the load bound and has
 * room gets the request. If none is, the less loaded of two engines drawn by the request's id gets
 * it, and if neither has room, the least loaded one of all. An engine is within the load bound
 * while its load is at most {@value #BOUND} times the mean of the engines that serve the model, in
 * proportion to its slots, plus {@value #SLACK} requests.
 *
 * <p>Stateless but for its seed and safe for use by several threads.
 */
final class EngineChoice {

  private static final double BOUND = 1.25;
  private static final double SLACK = 1.0;
  private static final int AFFINITY_CHOICES = 3;

  private final long seed;

  private EngineChoice(long seed) {
    this.seed = seed;
  }

  static EngineChoice withSeed(long seed) {
    return new EngineChoice(seed);
  }

  /** Returns whether an engine of the own region serves the model, with or without room. */
  static boolean anyServes(RoutingRequest request, RoutingView view) {
    for (EngineView engine : view.engines()) {
      if (engine.serves(request.model())) {
        return true;
      }
    }
    return false;
  }

  /** Returns the engine, or nothing if none that serves the model has room by the rule. */
  Optional<RoutingDecision.ToEngine> choose(
      RoutingRequest request, RoutingView view, RoomRule rule) {
    double loadPerSlot = boundPerSlot(request, view);
    EngineView preferred = byPrefix(request, view, rule, loadPerSlot);
    if (preferred != null) {
      return Optional.of(
          new RoutingDecision.ToEngine(preferred.id(), RoutingReason.PREFIX_AFFINITY));
    }
    EngineView other = lessLoadedOfTwo(request, view.engines(), rule);
    if (other == null) {
      other = leastLoaded(request, view.engines(), rule);
    }
    return Optional.ofNullable(other)
        .map(e -> new RoutingDecision.ToEngine(e.id(), RoutingReason.LEAST_LOADED));
  }

  private static double boundPerSlot(RoutingRequest request, RoutingView view) {
    long slots = 0;
    long load = 0;
    for (EngineView engine : view.engines()) {
      if (engine.serves(request.model())) {
        slots += engine.slots();
        load += engine.load();
      }
    }
    return slots == 0 ? 0 : BOUND * load / slots;
  }

  private EngineView byPrefix(
      RoutingRequest request, RoutingView view, RoomRule rule, double loadPerSlot) {
    long key = request.prefixDigest() ^ seed;
    long ceiling = Long.MAX_VALUE;
    for (int i = 0; i < AFFINITY_CHOICES; i++) {
      EngineView best = null;
      long bestScore = Long.MIN_VALUE;
      for (EngineView engine : view.engines()) {
        long score = BitMixer.rendezvous(key, engine.id().value());
        if (score > bestScore && score < ceiling && engine.serves(request.model())) {
          best = engine;
          bestScore = score;
        }
      }
      if (best == null) {
        return null;
      }
      if (rule.hasRoom(best) && best.load() <= loadPerSlot * best.slots() + SLACK) {
        return best;
      }
      ceiling = bestScore;
    }
    return null;
  }

  private EngineView lessLoadedOfTwo(
      RoutingRequest request, List<EngineView> engines, RoomRule rule) {
    if (engines.isEmpty()) {
      return null;
    }
    long bits = BitMixer.mix(request.id().value().hashCode() ^ seed);
    EngineView one = engines.get((int) Long.remainderUnsigned(bits, engines.size()));
    EngineView two = engines.get((int) Long.remainderUnsigned(bits >>> 32, engines.size()));
    return lessLoaded(request, lessLoaded(request, null, one, rule), two, rule);
  }

  private static EngineView leastLoaded(
      RoutingRequest request, List<EngineView> engines, RoomRule rule) {
    EngineView best = null;
    for (EngineView engine : engines) {
      best = lessLoaded(request, best, engine, rule);
    }
    return best;
  }

  private static EngineView lessLoaded(
      RoutingRequest request, EngineView best, EngineView engine, RoomRule rule) {
    if (!rule.hasRoom(engine) || !engine.serves(request.model())) {
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
