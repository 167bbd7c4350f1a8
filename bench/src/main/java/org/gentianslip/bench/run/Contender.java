package org.gentianslip.bench.run;

import java.util.Optional;
import java.util.function.LongFunction;
import org.gentianslip.core.limit.RecoveryRamp;
import org.gentianslip.core.queue.QueueLimits;
import org.gentianslip.core.routing.RoutingPolicy;

/**
 * Holds a policy with what belongs to it in an entry.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name the name, as given on the command line
 * @param policy makes the policy from a seed
 * @param queue the limits of the queue; without one, the policy decides once for each request
 * @param sharedLimits whether entries share an engine's slots by {@code ShareLimit}
 * @param ramp how traffic returns to engines that come back, if in steps
 */
public record Contender(
    String name,
    LongFunction<RoutingPolicy> policy,
    Optional<QueueLimits> queue,
    boolean sharedLimits,
    Optional<RecoveryRamp> ramp) {}
