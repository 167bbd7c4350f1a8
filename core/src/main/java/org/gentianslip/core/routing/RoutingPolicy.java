package org.gentianslip.core.routing;

/**
 * A policy that decides where a request is served.
 *
 * <p>An implementation performs no I/O, reads no clock and draws no random numbers; any seed is an
 * argument of its factory. It selects only regions in {@link RoutingRequest#allowedRegions()} and
 * never sends a forwarded request to another region. Implementations are thread-safe.
 */
public interface RoutingPolicy {

  /**
   * Returns the next step for a request.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @param request the request
   * @param view the known state of the engines, the regions and the queue
   */
  RoutingDecision decide(long nowNanos, RoutingRequest request, RoutingView view);
}
