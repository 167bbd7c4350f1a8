package org.gentianslip.bench.run;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongFunction;
import java.util.stream.Collectors;
import org.gentianslip.bench.fleet.Fleets;
import org.gentianslip.bench.fleet.KindSpec;
import org.gentianslip.core.id.KindId;
import org.gentianslip.core.limit.RecoveryRamp;
import org.gentianslip.core.queue.QueueLimits;
import org.gentianslip.core.routing.ExpectedCostPolicy;
import org.gentianslip.core.routing.LeastLoadedPolicy;
import org.gentianslip.core.routing.PolicyTuning;
import org.gentianslip.core.routing.PrefixAffinityPolicy;
import org.gentianslip.core.routing.RoundRobinPolicy;
import org.gentianslip.core.routing.RoutingPolicy;
import org.gentianslip.core.routing.RoutingRequest;

/**
 * Lists the policies that the bench compares: the baselines, then ours from the first on.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class Contenders {

  /** The share of the served work that the other rank keeps in an urgent flood. */
  public static final double OTHER_FLOOR = 0.15;

  private static final QueueLimits FIRST_QUEUE = new QueueLimits(512, OTHER_FLOOR, 50_000_000, 0);
  private static final QueueLimits QUEUE = new QueueLimits(512, OTHER_FLOOR, 300_000_000, 1600);

  private static final RecoveryRamp RAMP = new RecoveryRamp(0.25, 10_000_000_000L);
  private static final PolicyTuning VENTURE =
      PolicyTuning.DEFAULT.withDemandMargin(1.5).withOtherSpillCharge(15_000_000_000L);
  private static final Set<KindId> VENTURE_KINDS =
      Fleets.venture().kinds().stream().map(KindSpec::kind).collect(Collectors.toSet());

  private Contenders() {}

  /** Returns all contenders; the last one is our present policy. */
  public static List<Contender> all() {
    return List.of(roundRobin(), leastLoaded(), prefixAffinity(), expectedCost(), demandReserve());
  }

  /** Returns round robin in the own region. */
  public static Contender roundRobin() {
    return direct("round-robin", s -> new RoundRobinPolicy());
  }

  /** Returns the least loaded engine, without a queue. */
  public static Contender leastLoaded() {
    return direct("least-loaded", s -> new LeastLoadedPolicy());
  }

  /** Returns prefix affinity with a queue and shared limits. */
  public static Contender prefixAffinity() {
    return new Contender(
        "prefix-affinity",
        PrefixAffinityPolicy::withSeed,
        Optional.of(FIRST_QUEUE),
        true,
        Optional.empty());
  }

  /** Returns spill by expected cost and a fixed reserve for the urgent rank. */
  public static Contender expectedCost() {
    PolicyTuning tuning = PolicyTuning.DEFAULT.withDemandMargin(0);
    return queued("expected-cost", s -> ExpectedCostPolicy.of(s, r -> tuning));
  }

  /** Returns the same with a reserve by demand, tuned by branch, and a ramp: our present policy. */
  public static Contender demandReserve() {
    return new Contender(
        "demand-reserve",
        s -> ExpectedCostPolicy.of(s, Contenders::tuning),
        Optional.of(QUEUE),
        true,
        Optional.of(RAMP));
  }

  /** Returns the tuning of the branch of a kind of work. */
  private static PolicyTuning tuning(RoutingRequest request) {
    return VENTURE_KINDS.contains(request.kind()) ? VENTURE : PolicyTuning.DEFAULT;
  }

  private static Contender queued(String name, LongFunction<RoutingPolicy> policy) {
    return new Contender(name, policy, Optional.of(QUEUE), true, Optional.empty());
  }

  private static Contender direct(String name, LongFunction<RoutingPolicy> policy) {
    return new Contender(name, policy, Optional.empty(), false, Optional.empty());
  }
}
