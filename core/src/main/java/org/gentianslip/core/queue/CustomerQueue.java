package org.gentianslip.core.queue;

import java.util.TreeSet;
import org.gentianslip.core.id.CustomerId;

/**
 * Holds the waiting requests of one customer and the customer's place in the fair order.
 *
 * <p>The start tag is the work that the customer has been given, divided by its weight; it never
 * falls. Not safe for use by several threads; its queue's lock guards it.
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

  /** Returns the waiting work divided by the weight. */
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

  /** Raises the start tag to the present of the rank, so that idle time gives no credit. */
  void raiseTo(double virtualTime) {
    startTag = Math.max(startTag, virtualTime);
  }

  /** Charges served work. */
  void charge(double served) {
    startTag += served / weight;
  }

  @Override
  public int compareTo(CustomerQueue other) {
    int byTag = Double.compare(startTag, other.startTag);
    return byTag != 0 ? byTag : customer.compareTo(other.customer);
  }
}
