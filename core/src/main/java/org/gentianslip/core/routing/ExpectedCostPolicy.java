package org.gentianslip.core.routing;

import java.util.Optional;
import java.util.function.Function;
import org.gentianslip.core.id.Rank;

/**
 * Chooses by prefix affinity in the own region and sends a request away only if that costs less
 * than waiting.
 *
 * <p>The other rank leaves a reserve of slots to the urgent one, and never holds more than the
 * urgent rank's demand and a margin leave, unless the queue gives it its turn while urgent requests
 * wait: then its floor is due. A customer of the urgent rank that holds more than its share of the
 * slots leaves a smaller reserve to the other customers. While few urgent requests wait, one that
 * finds no room within the instance's limits takes a slot that was free by the last report.
 *
 * <p>A request goes to another region only if no engine here has a free slot for it by what is
 * known, the backlog of its rank takes longer to drain than the round trip, the cold prefix and the
 * charge of the rank together, and the region's spare capacity and the link's budget allow it.
 *
 * <p>Stateless but for its seed and safe for use by several threads.
 *
 * @see EngineChoice
 */
public final class ExpectedCostPolicy implements RoutingPolicy {

  private static final int MAX_BORROWERS = 3;
  private static final RoomRule LEAVING_ONE =
      engine -> engine.usable() && engine.inFlight() < Math.max(1, engine.limit() - 1);
  private static final long RETRY_AFTER_MILLIS = 500;
  private static final long WAIT_NANOS = 50_000_000;
  private static final long BYTES_PER_PROMPT_TOKEN = 4;
  private static final long BYTES_PER_ANSWER_TOKEN = 150;

  private final EngineChoice choice;
  private final Function<RoutingRequest, PolicyTuning> tunings;

  private ExpectedCostPolicy(EngineChoice choice, Function<RoutingRequest, PolicyTuning> tunings) {
    this.choice = choice;
    this.tunings = tunings;
  }

  /**
   * Returns a policy.
   *
   * @param seed the seed of the hashes
   * @param tunings gives the tuning of the branch that a request belongs to
   */
  public static ExpectedCostPolicy of(long seed, Function<RoutingRequest, PolicyTuning> tunings) {
    return new ExpectedCostPolicy(EngineChoice.withSeed(seed), tunings);
  }

  @Override
  public RoutingDecision decide(long nowNanos, RoutingRequest request, RoutingView view) {
    PolicyTuning tuning = tunings.apply(request);
    boolean local =
        request.allowedRegions().contains(view.ownRegion())
            && EngineChoice.anyServes(request, view);
    if (local) {
      Optional<RoutingDecision.ToEngine> engine = chooseEngine(request, view, tuning);
      if (engine.isPresent()) {
        return engine.get();
      }
    }
    if (!request.forwarded() && !(local && hasFreeSlot(request, view, tuning))) {
      long localWait = local ? view.queue().of(request.rank()).drainNanos() : Long.MAX_VALUE;
      RegionSummary away = cheapest(request, view, localWait, tuning);
      if (away != null) {
        return new RoutingDecision.ToRegion(away.region(), RoutingReason.SPILL);
      }
    }
    if (local) {
      return new RoutingDecision.Wait(nowNanos + WAIT_NANOS, RoutingReason.ENGINES_BUSY);
    }
    return new RoutingDecision.Refuse(RETRY_AFTER_MILLIS, RoutingReason.NO_ENGINE);
  }

  private Optional<RoutingDecision.ToEngine> chooseEngine(
      RoutingRequest request, RoutingView view, PolicyTuning tuning) {
    boolean floorIsDue = request.rank() == Rank.OTHER && view.queue().urgent().requests() > 0;
    if (!floorIsDue && !leavesReserve(request, view, tuning)) {
      return Optional.empty();
    }
    if (request.rank() == Rank.OTHER && !floorIsDue) {
      return choice.choose(request, view, LEAVING_ONE);
    }
    Optional<RoutingDecision.ToEngine> own = choice.choose(request, view, RoomRule.WITHIN_LIMIT);
    boolean mayBorrow =
        request.rank() == Rank.URGENT && view.queue().urgent().requests() <= MAX_BORROWERS;
    if (own.isPresent() || !mayBorrow) {
      return own;
    }
    return choice.choose(request, view, RoomRule.REPORTED_FREE);
  }

  /** Returns whether the request leaves the reserves of others untouched. */
  private static boolean leavesReserve(
      RoutingRequest request, RoutingView view, PolicyTuning tuning) {
    QueueView queue = view.queue();
    int limits = limits(request, view);
    if (request.rank() == Rank.URGENT) {
      boolean overShare = queue.customerInFlight() > tuning.customerShare() * limits;
      return !overShare || free(request, view) > tuning.customerReserve() * limits;
    }
    double demand = queue.urgentDemand();
    double reserved = demand + tuning.demandMargin() * Math.sqrt(demand);
    return queue.otherInFlight() < limits - (tuning.demandMargin() > 0 ? reserved : 0)
        && free(request, view) > tuning.urgentReserve() * limits;
  }

  /** Returns the free part of this instance's limits. */
  private static int free(RoutingRequest request, RoutingView view) {
    int free = 0;
    for (EngineView engine : view.engines()) {
      if (engine.serves(request.model())) {
        free += Math.max(0, engine.limit() - engine.inFlight());
      }
    }
    return free;
  }

  private static int limits(RoutingRequest request, RoutingView view) {
    int limits = 0;
    for (EngineView engine : view.engines()) {
      if (engine.serves(request.model())) {
        limits += engine.limit();
      }
    }
    return limits;
  }

  /** Returns whether a slot that the rank may use is free by the last reports. */
  private static boolean hasFreeSlot(
      RoutingRequest request, RoutingView view, PolicyTuning tuning) {
    int slots = 0;
    int free = 0;
    for (EngineView engine : view.engines()) {
      if (engine.serves(request.model())) {
        slots += engine.slots();
        free += Math.max(0, engine.slots() - engine.load());
      }
    }
    double reserved = request.rank() == Rank.OTHER ? tuning.urgentReserve() * slots : 0;
    return free > reserved;
  }

  private static RegionSummary cheapest(
      RoutingRequest request, RoutingView view, long localWaitNanos, PolicyTuning tuning) {
    long coldNanos = request.promptTokens() * tuning.promptTokenTime();
    long bytes =
        request.promptTokens() * BYTES_PER_PROMPT_TOKEN
            + request.maxTokens() * BYTES_PER_ANSWER_TOKEN;
    RegionSummary best = null;
    for (RegionSummary region : view.regions()) {
      long cost = region.roundTripNanos() + coldNanos + tuning.charge(request.rank());
      if (cost < localWaitNanos
          && canTake(request, region, bytes)
          && (best == null || isBetter(region, best))) {
        best = region;
      }
    }
    return best;
  }

  private static boolean canTake(RoutingRequest request, RegionSummary region, long bytes) {
    return region.reachable()
        && region.quota() > 0
        && region.linkFreeBytes() >= bytes
        && request.allowedRegions().contains(region.region());
  }

  private static boolean isBetter(RegionSummary region, RegionSummary best) {
    int byWay = Long.compare(region.roundTripNanos(), best.roundTripNanos());
    return byWay != 0 ? byWay < 0 : region.quota() > best.quota();
  }
}
