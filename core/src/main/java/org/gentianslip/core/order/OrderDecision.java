package org.gentianslip.core.order;

/** The decision of an instance whether to send an order to an engine now. */
public sealed interface OrderDecision {

  /**
   * Send the order, if {@link OrderController#mayWrite} still allows it immediately before the
   * write.
   *
   * @param order the order
   * @param writeByNanos the time after which the order must not be written, in nanoseconds of the
   *     monotonic clock
   */
  record Send(EngineOrder order, long writeByNanos) implements OrderDecision {}

  /**
   * Send no order now.
   *
   * @param reason the reason why no order is sent
   */
  record Refrain(OrderReason reason) implements OrderDecision {}
}
