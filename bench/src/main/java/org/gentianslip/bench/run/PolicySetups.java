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
 * The policies to compare: the baselines first, then the expected-cost policies of this project.
 *
 * <p>Stateless and thread-safe.
 */
public final class PolicySetups {

  /** The minimum share of the served work that the other rank gets, also in an urgent flood. */
  public static final double OTHER_FLOOR = 0.15;

  private static final QueueLimits AFFINITY_QUEUE =
      new QueueLimits(512, OTHER_FLOOR, 50_000_000, 0);
  private static final QueueLimits QUEUE = new QueueLimits(512, OTHER_FLOOR, 300_000_000, 1600);

  private static final RecoveryRamp RECOVERY_RAMP = new RecoveryRamp(0.25, 10_000_000_000L);
  private static final PolicyTuning VENTURE_TUNING =
      PolicyTuning.DEFAULT.withDemandMargin(1.5).withOtherSpillCharge(15_000_000_000L);
  private static final Set<KindId> VENTURE_KINDS =
      Fleets.venture().kinds().stream().map(KindSpec::kind).collect(Collectors.toSet());

  private PolicySetups() {}

  /** Returns all policies; the last one is the current policy of the entries. */
  public static List<PolicySetup> all() {
    return List.of(roundRobin(), leastLoaded(), prefixAffinity(), expectedCost(), demandReserve());
  }

  /** Returns round robin over the engines of the local region, without a queue. */
  public static PolicySetup roundRobin() {
    return unqueued("round-robin", seed -> new RoundRobinPolicy());
  }

  /** Returns a policy that chooses the least loaded engine, without a queue. */
  public static PolicySetup leastLoaded() {
    return unqueued("least-loaded", seed -> new LeastLoadedPolicy());
  }

  /** Returns prefix affinity with a queue and divided slots. */
  public static PolicySetup prefixAffinity() {
    return new PolicySetup(
        "prefix-affinity",
        PrefixAffinityPolicy::withSeed,
        Optional.of(AFFINITY_QUEUE),
        true,
        Optional.empty());
  }

  /**
   * Returns spill by expected cost, with a fixed reserve for the urgent rank: its demand margin is
   * 0.
   */
  public static PolicySetup expectedCost() {
    PolicyTuning tuning = PolicyTuning.DEFAULT.withDemandMargin(0);
    return queued("expected-cost", seed -> ExpectedCostPolicy.of(seed, request -> tuning));
  }

  /**
   * Returns the current policy: spill by expected cost with a reserve by demand that is tuned per
   * branch, and a recovery ramp.
   */
  public static PolicySetup demandReserve() {
    return new PolicySetup(
        "demand-reserve",
        seed -> ExpectedCostPolicy.of(seed, PolicySetups::tuning),
        Optional.of(QUEUE),
        true,
        Optional.of(RECOVERY_RAMP));
  }

  /** Returns the tuning that the settings branch of the kind of work prescribes. */
  private static PolicyTuning tuning(RoutingRequest request) {
    return VENTURE_KINDS.contains(request.kind()) ? VENTURE_TUNING : PolicyTuning.DEFAULT;
  }

  private static PolicySetup queued(String name, LongFunction<RoutingPolicy> policy) {
    return new PolicySetup(name, policy, Optional.of(QUEUE), true, Optional.empty());
  }

  private static PolicySetup unqueued(String name, LongFunction<RoutingPolicy> policy) {
    return new PolicySetup(name, policy, Optional.empty(), false, Optional.empty());
  }
}
