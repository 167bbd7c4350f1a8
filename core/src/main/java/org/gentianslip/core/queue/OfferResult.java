package org.gentianslip.core.queue;

import org.gentianslip.core.routing.RoutingReason;
import org.gentianslip.core.routing.RoutingRequest;

/** The result of offering a request to a queue. Immutable and thread-safe. */
public sealed interface OfferResult {

  /** The request was accepted and waits. */
  record Accepted() implements OfferResult {}

  /**
   * The request was accepted and waits; another request was displaced from the full queue.
   *
   * @param displaced the request that was removed from the queue; it has not run and must be
   *     refused
   */
  record AcceptedByDisplacing(RoutingRequest displaced) implements OfferResult {}

  /**
   * The request was refused; it has not run.
   *
   * @param retryAfterMillis the time after which the caller may retry, in milliseconds
   * @param reason the reason of the refusal
   */
  record Refused(long retryAfterMillis, RoutingReason reason) implements OfferResult {}
}
