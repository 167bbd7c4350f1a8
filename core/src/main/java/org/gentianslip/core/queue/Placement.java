package org.gentianslip.core.queue;

import org.gentianslip.core.routing.RoutingDecision;
import org.gentianslip.core.routing.RoutingRequest;

/**
 * A request that left the queue, and the decision about it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param request the request
 * @param decision the decision, which is never {@link RoutingDecision.Wait}
 */
public record Placement(RoutingRequest request, RoutingDecision decision) {}
