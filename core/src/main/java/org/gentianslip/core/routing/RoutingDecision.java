package org.gentianslip.core.routing;

import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.RegionId;

/** Tells where a request goes next. Immutable and safe for use by several threads. */
public sealed interface RoutingDecision {

  /** Returns why the policy decided so. */
  RoutingReason reason();

  /**
   * Sends the request to an engine of the own region.
   *
   * @param engine the engine
   * @param reason why
   */
  record ToEngine(EngineId engine, RoutingReason reason) implements RoutingDecision {}

  /**
   * Sends the request to an instance of another region.
   *
   * @param region the region
   * @param reason why
   */
  record ToRegion(RegionId region, RoutingReason reason) implements RoutingDecision {}

  /**
   * Keeps the request in the queue until capacity is free or the time comes.
   *
   * @param untilNanos when to decide again at the latest, in nanoseconds of the monotonic clock
   * @param reason why
   */
  record Wait(long untilNanos, RoutingReason reason) implements RoutingDecision {}

  /**
   * Refuses the request; it has not run.
   *
   * @param retryAfterMillis when the caller may try again, in milliseconds from now
   * @param reason why
   */
  record Refuse(long retryAfterMillis, RoutingReason reason) implements RoutingDecision {}
}
