package org.gentianslip.core.queue;

import org.gentianslip.core.routing.RoutingReason;
import org.gentianslip.core.routing.RoutingRequest;

/** Tells what became of an offered request. Immutable and safe for use by several threads. */
public sealed interface OfferResult {

  /** The request waits. */
  record Accepted() implements OfferResult {}

  /**
   * The request waits, and another one no longer does.
   *
   * @param displaced the request that lost its place; it has not run and must be refused
   */
  record AcceptedByDisplacing(RoutingRequest displaced) implements OfferResult {}

  /**
   * The request does not wait; it has not run.
   *
   * @param retryAfterMillis when the caller may try again, in milliseconds from now
   * @param reason why
   */
  record Refused(long retryAfterMillis, RoutingReason reason) implements OfferResult {}
}
