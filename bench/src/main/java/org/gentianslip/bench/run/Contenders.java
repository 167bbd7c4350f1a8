package org.gentianslip.bench.run;

import java.util.List;
import java.util.Optional;
import java.util.function.LongFunction;
import org.gentianslip.core.queue.QueueLimits;
import org.gentianslip.core.routing.LeastLoadedPolicy;
import org.gentianslip.core.routing.PrefixAffinityPolicy;
import org.gentianslip.core.routing.RoundRobinPolicy;
import org.gentianslip.core.routing.RoutingPolicy;

/**
 * Lists the policies that the bench compares: the baselines, then ours from the first on.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class Contenders {

  /** The share of the served work that the other rank keeps in an urgent flood. */
  public static final double OTHER_FLOOR = 0.15;

  private static final QueueLimits QUEUE = new QueueLimits(512, OTHER_FLOOR, 50_000_000);

  private Contenders() {}

  /** Returns all contenders; the last one is our present policy. */
  public static List<Contender> all() {
    return List.of(roundRobin(), leastLoaded(), prefixAffinity());
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
        Optional.of(QUEUE),
        true,
        Optional.empty());
  }

  private static Contender direct(String name, LongFunction<RoutingPolicy> policy) {
    return new Contender(name, policy, Optional.empty(), false, Optional.empty());
  }
}
