package org.gentianslip.core.routing;

import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.RegionId;

/** Tells where a request goes next. Immutable and safe for use by several threads. */
public sealed interface RouteDecision {

  /** Returns why the policy decided so. */
  RouteReason reason();

  /**
   * Sends the request to an engine of the own region.
   *
   * @param engine the engine
   * @param reason why
   */
  record ToEngine(EngineId engine, RouteReason reason) implements RouteDecision {}

  /**
   * Sends the request to an instance of another region.
   *
   * @param region the region
   * @param reason why
   */
  record ToRegion(RegionId region, RouteReason reason) implements RouteDecision {}

  /**
   * Keeps the request in the queue until capacity is free or the time comes.
   *
   * @param untilNanos when to decide again at the latest, in nanoseconds of the monotonic clock
   * @param reason why
   */
  record Wait(long untilNanos, RouteReason reason) implements RouteDecision {}

  /**
   * Refuses the request; it has not run.
   *
   * @param retryAfterMillis when the caller may try again, in milliseconds from now
   * @param reason why
   */
  record Refuse(long retryAfterMillis, RouteReason reason) implements RouteDecision {}
}
