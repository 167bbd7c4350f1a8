package org.gentianslip.bench.run;

import java.util.Optional;
import java.util.function.LongFunction;
import org.gentianslip.core.limit.RecoveryRamp;
import org.gentianslip.core.queue.QueueLimits;
import org.gentianslip.core.routing.RoutingPolicy;

/**
 * A routing policy together with the queue and the limits that entries use with it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name, as given on the command line
 * @param policyFactory creates the policy from a seed
 * @param queueLimits the limits of the queue; if empty, there is no queue and the policy decides
 *     once about each request
 * @param sharesSlots whether entries divide the slots of an engine among themselves by {@code
 *     ShareLimit}
 * @param recoveryRamp how fast the load of recovered engines may increase; if empty, without limit
 */
public record PolicySetup(
    String name,
    LongFunction<RoutingPolicy> policyFactory,
    Optional<QueueLimits> queueLimits,
    boolean sharesSlots,
    Optional<RecoveryRamp> recoveryRamp) {}
