package org.gentianslip.core.routing;

import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.RegionId;

/** The next step for a request. Immutable and thread-safe. */
public sealed interface RoutingDecision {

  /** Returns the reason of the decision. */
  RoutingReason reason();

  /**
   * Sends the request to an engine of the local region.
   *
   * @param engine the engine
   * @param reason the reason of the decision
   */
  record ToEngine(EngineId engine, RoutingReason reason) implements RoutingDecision {}

  /**
   * Sends the request to an instance of another region.
   *
   * @param region the region
   * @param reason the reason of the decision
   */
  record ToRegion(RegionId region, RoutingReason reason) implements RoutingDecision {}

  /**
   * Keeps the request in the queue until capacity is free, but no longer than the given time.
   *
   * @param untilNanos the latest time of the next decision, in nanoseconds of the monotonic clock
   * @param reason the reason of the decision
   */
  record Wait(long untilNanos, RoutingReason reason) implements RoutingDecision {}

  /**
   * Refuses the request, which has not run.
   *
   * @param retryAfterMillis the time after which the caller may retry, in milliseconds
   * @param reason the reason of the decision
   */
  record Refuse(long retryAfterMillis, RoutingReason reason) implements RoutingDecision {}
}
