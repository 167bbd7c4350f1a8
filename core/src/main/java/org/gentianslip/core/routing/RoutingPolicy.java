package org.gentianslip.core.routing;

/**
 * Decides where a request goes.
 *
 * <p>An implementation does no I/O, reads no clock and draws no random numbers of its own; its seed
 * is an argument of its constructor. It keeps to {@link RoutingRequest#allowedRegions()} and never
 * sends a forwarded request to another region. Implementations are safe for use by several threads.
 */
public interface RoutingPolicy {

  /**
   * Decides where the request goes next.
   *
   * @param nowNanos the present time, in nanoseconds of the monotonic clock
   * @param request the request
   * @param view what is known of engines and regions
   */
  RoutingDecision decide(long nowNanos, RoutingRequest request, RoutingView view);
}
