package org.gentianslip.core.queue;

import java.util.Comparator;
import org.gentianslip.core.routing.RoutingRequest;

/**
 * A waiting request and its position in the order of arrival.
 *
 * <p>Requests are ordered by deadline, then by arrival; no two requests are equal in this order.
 * Immutable and thread-safe.
 *
 * @param request the request
 * @param sequence the position in the order of arrival
 * @param work the estimated work, in answer tokens
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
