package org.gentianslip.core.queue;

import org.gentianslip.core.routing.RoutingDecision;
import org.gentianslip.core.routing.RoutingRequest;

/**
 * Holds a request that left the queue and what was decided about it.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param request the request
 * @param decision the decision, which is not to wait
 */
public record Placement(RoutingRequest request, RoutingDecision decision) {}
