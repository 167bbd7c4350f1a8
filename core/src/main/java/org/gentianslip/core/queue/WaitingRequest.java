package org.gentianslip.core.queue;

import java.util.Comparator;
import org.gentianslip.core.routing.RoutingRequest;

/**
 * Holds a waiting request with its place in the order of arrival.
 *
 * <p>The earlier deadline goes first, then the earlier arrival; no two are equal in this order.
 * Immutable and safe for use by several threads.
 *
 * @param request the request
 * @param sequence the place in the order of arrival
 * @param work the estimated work, in tokens of an answer
 */
record WaitingRequest(RoutingRequest request, long sequence, double work)
    implements Comparable<WaitingRequest> {

  private static final Comparator<WaitingRequest> ORDER =
      Comparator.<WaitingRequest>comparingLong(w -> w.request().deadlineNanos())
          .thenComparingLong(WaitingRequest::sequence);

  @Override
  public int compareTo(WaitingRequest other) {
    return ORDER.compare(this, other);
  }
}
