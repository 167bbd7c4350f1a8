package org.gentianslip.core.queue;

import java.util.TreeSet;
import org.gentianslip.core.id.CustomerId;

/**
 * The waiting requests of one customer, and the customer's position in the fair-queueing order.
 *
 * <p>The start tag is the work that was served for the customer, divided by its weight, and is
 * raised when a request arrives after idle time; it never decreases. Not thread-safe; guarded by
 * the lock of the {@link RequestQueue}.
 */
final class CustomerQueue implements Comparable<CustomerQueue> {

  private final CustomerId customer;
  private final double weight;
  private final TreeSet<WaitingRequest> requests = new TreeSet<>();
  private double work;
  private double startTag;

  CustomerQueue(CustomerId customer, double weight) {
    this.customer = customer;
    this.weight = weight;
  }

  CustomerId customer() {
    return customer;
  }

  double weight() {
    return weight;
  }

  double startTag() {
    return startTag;
  }

  /** Returns the work of the waiting requests, divided by the weight. */
  double workPerWeight() {
    return work / weight;
  }

  boolean isEmpty() {
    return requests.isEmpty();
  }

  WaitingRequest first() {
    return requests.first();
  }

  WaitingRequest last() {
    return requests.last();
  }

  void add(WaitingRequest request) {
    requests.add(request);
    work += request.work();
  }

  boolean remove(WaitingRequest request) {
    boolean removed = requests.remove(request);
    if (removed) {
      work = requests.isEmpty() ? 0 : work - request.work();
    }
    return removed;
  }

  /** Raises the start tag to at least the given value, which limits the credit for idle time. */
  void raiseTo(double minTag) {
    startTag = Math.max(startTag, minTag);
  }

  /** Adds served work to the start tag. */
  void charge(double served) {
    startTag += served / weight;
  }

  @Override
  public int compareTo(CustomerQueue other) {
    int byTag = Double.compare(startTag, other.startTag);
    return byTag != 0 ? byTag : customer.compareTo(other.customer);
  }
}
