package org.gentianslip.core.routing;

import java.util.Optional;
import java.util.function.Function;
import org.gentianslip.core.id.Rank;

/**
 * Selects an engine of the local region by prefix affinity, and sends a request to another region
 * only if that costs less than waiting.
 *
 * <p>Requests of the other rank leave a reserve of slots to the urgent rank, and never occupy slots
 * that the urgent rank's demand and a margin need. There is one exception: if the queue selects a
 * request of the other rank while urgent requests wait, the other rank is due its guaranteed share
 * and may use the reserve. A customer of the urgent rank that occupies more than its share of the
 * slots leaves a smaller reserve to the other customers. While few urgent requests wait, an urgent
 * request that finds no free capacity within the instance's limits may use a slot that was free by
 * the engine's last report.
 *
 * <p>A request is sent to another region only if all of the following hold: no engine of the local
 * region is known to have a free slot for it; the backlog of its rank takes longer to drain than
 * the sum of the round trip, the prefill of the uncached prefix and the spill charge of the rank;
 * and the spare capacity of the other region and the byte budget of the link allow it.
 *
 * <p>Stateless except for its seed and thread-safe.
 *
 * @see EngineSelector
 */
public final class ExpectedCostPolicy implements RoutingPolicy {

  private static final int MAX_BORROWERS = 3;
  private static final CapacityRule KEEPING_ONE_FREE =
      engine -> engine.usable() && engine.inFlight() < Math.max(1, engine.limit() - 1);
  private static final long RETRY_AFTER_MILLIS = 500;
  private static final long MAX_WAIT_NANOS = 50_000_000;
  private static final long BYTES_PER_PROMPT_TOKEN = 4;
  private static final long BYTES_PER_ANSWER_TOKEN = 150;

  private final EngineSelector engineSelector;
  private final Function<RoutingRequest, PolicyTuning> tunings;

  private ExpectedCostPolicy(
      EngineSelector engineSelector, Function<RoutingRequest, PolicyTuning> tunings) {
    this.engineSelector = engineSelector;
    this.tunings = tunings;
  }

  /**
   * Returns a policy.
   *
   * @param seed the seed of the hashes
   * @param tunings returns the tuning of the settings branch that a request belongs to
   */
  public static ExpectedCostPolicy of(long seed, Function<RoutingRequest, PolicyTuning> tunings) {
    return new ExpectedCostPolicy(EngineSelector.withSeed(seed), tunings);
  }

  @Override
  public RoutingDecision decide(long nowNanos, RoutingRequest request, RoutingView view) {
    PolicyTuning tuning = tunings.apply(request);
    boolean local =
        request.allowedRegions().contains(view.ownRegion())
            && EngineSelector.anyServes(request, view);
    if (local) {
      Optional<RoutingDecision.ToEngine> engine = selectEngine(request, view, tuning);
      if (engine.isPresent()) {
        return engine.get();
      }
    }
    if (!request.forwarded() && !(local && hasFreeSlot(request, view, tuning))) {
      long localWaitNanos = local ? view.queue().of(request.rank()).drainNanos() : Long.MAX_VALUE;
      RegionSummary remote = selectRegion(request, view, localWaitNanos, tuning);
      if (remote != null) {
        return new RoutingDecision.ToRegion(remote.region(), RoutingReason.SPILL);
      }
    }
    if (local) {
      return new RoutingDecision.Wait(nowNanos + MAX_WAIT_NANOS, RoutingReason.ENGINES_BUSY);
    }
    return new RoutingDecision.Refuse(RETRY_AFTER_MILLIS, RoutingReason.NO_ENGINE);
  }

  private Optional<RoutingDecision.ToEngine> selectEngine(
      RoutingRequest request, RoutingView view, PolicyTuning tuning) {
    boolean minimumShareIsDue =
        request.rank() == Rank.OTHER && view.queue().urgent().requests() > 0;
    if (!minimumShareIsDue && !leavesReserve(request, view, tuning)) {
      return Optional.empty();
    }
    if (request.rank() == Rank.OTHER && !minimumShareIsDue) {
      return engineSelector.select(request, view, KEEPING_ONE_FREE);
    }
    Optional<RoutingDecision.ToEngine> withinLimit =
        engineSelector.select(request, view, CapacityRule.WITHIN_LIMIT);
    boolean mayBorrow =
        request.rank() == Rank.URGENT && view.queue().urgent().requests() <= MAX_BORROWERS;
    if (withinLimit.isPresent() || !mayBorrow) {
      return withinLimit;
    }
    return engineSelector.select(request, view, CapacityRule.REPORTED_FREE);
  }

  /** Returns whether the request may be sent without using the slots reserved for others. */
  private static boolean leavesReserve(
      RoutingRequest request, RoutingView view, PolicyTuning tuning) {
    QueueView queue = view.queue();
    int totalLimit = totalLimit(request, view);
    if (request.rank() == Rank.URGENT) {
      boolean aboveShare = queue.customerInFlight() > tuning.customerShare() * totalLimit;
      return !aboveShare || freeCapacity(request, view) > tuning.customerReserve() * totalLimit;
    }
    double demand = queue.urgentDemand();
    double reserved = demand + tuning.demandMargin() * Math.sqrt(demand);
    return queue.otherInFlight() < totalLimit - (tuning.demandMargin() > 0 ? reserved : 0)
        && freeCapacity(request, view) > tuning.urgentReserve() * totalLimit;
  }

  /**
   * Returns the number of requests that this instance's limits still allow at engines that serve
   * the model.
   */
  private static int freeCapacity(RoutingRequest request, RoutingView view) {
    int freeCapacity = 0;
    for (EngineView engine : view.engines()) {
      if (engine.serves(request.model())) {
        freeCapacity += Math.max(0, engine.limit() - engine.inFlight());
      }
    }
    return freeCapacity;
  }

  /** Returns the sum of this instance's limits at engines that serve the model. */
  private static int totalLimit(RoutingRequest request, RoutingView view) {
    int totalLimit = 0;
    for (EngineView engine : view.engines()) {
      if (engine.serves(request.model())) {
        totalLimit += engine.limit();
      }
    }
    return totalLimit;
  }

  /** Returns whether the engines' last reports show a free slot that the request's rank may use. */
  private static boolean hasFreeSlot(
      RoutingRequest request, RoutingView view, PolicyTuning tuning) {
    int slots = 0;
    int freeCapacity = 0;
    for (EngineView engine : view.engines()) {
      if (engine.serves(request.model())) {
        slots += engine.slots();
        freeCapacity += Math.max(0, engine.slots() - engine.load());
      }
    }
    double reserved = request.rank() == Rank.OTHER ? tuning.urgentReserve() * slots : 0;
    return freeCapacity > reserved;
  }

  private static RegionSummary selectRegion(
      RoutingRequest request, RoutingView view, long localWaitNanos, PolicyTuning tuning) {
    long prefillNanos = request.promptTokens() * tuning.prefillNanosPerToken();
    long bytes =
        request.promptTokens() * BYTES_PER_PROMPT_TOKEN
            + request.maxTokens() * BYTES_PER_ANSWER_TOKEN;
    RegionSummary best = null;
    for (RegionSummary region : view.regions()) {
      long costNanos =
          region.roundTripNanos() + prefillNanos + tuning.spillChargeNanos(request.rank());
      if (costNanos < localWaitNanos
          && canAccept(request, region, bytes)
          && (best == null || isBetter(region, best))) {
        best = region;
      }
    }
    return best;
  }

  private static boolean canAccept(RoutingRequest request, RegionSummary region, long bytes) {
    return region.reachable()
        && region.quota() > 0
        && region.linkFreeBytes() >= bytes
        && request.allowedRegions().contains(region.region());
  }

  private static boolean isBetter(RegionSummary region, RegionSummary best) {
    int byRoundTrip = Long.compare(region.roundTripNanos(), best.roundTripNanos());
    return byRoundTrip != 0 ? byRoundTrip < 0 : region.quota() > best.quota();
  }
}
