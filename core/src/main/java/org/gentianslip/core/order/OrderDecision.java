package org.gentianslip.core.order;

/** What an instance does about an engine now. */
public sealed interface OrderDecision {

  /**
   * Send the order, if {@link OrderController#mayWrite} still allows it immediately before the
   * write.
   *
   * @param order the order
   * @param writeByNanos when it may no longer be written
   */
  record Send(EngineOrder order, long writeByNanos) implements OrderDecision {}

  /**
   * Send nothing now.
   *
   * @param reason why
   */
  record Refrain(OrderReason reason) implements OrderDecision {}
}
