package org.gentianslip.core.queue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.routing.QueueView.Backlog;
import org.gentianslip.core.routing.RoutingRequest;

/**
 * The waiting requests of one rank, served in proportion to the weights of the customers.
 *
 * <p>Customers are ordered by start-time fair queueing: the customer with the lowest start tag is
 * served first, and the start tag of a customer that was idle is raised to at least the virtual
 * time minus the burst credit. A customer is in {@code waiting} if and only if it has a waiting
 * request. Not thread-safe; guarded by the lock of the {@link RequestQueue}.
 */
final class RankQueue {

  private static final int REQUESTS_PER_IDLE_SWEEP = 256;

  private final ToDoubleFunction<CustomerId> weights;
  private final double burstWork;
  private final Map<CustomerId, CustomerQueue> customers = new HashMap<>();
  private final TreeSet<CustomerQueue> waiting = new TreeSet<>();
  private final TreeSet<WaitingRequest> byDeadline = new TreeSet<>();
  private final DrainMeter drainMeter = new DrainMeter();
  private double work;
  private double waitingWeight;
  private double virtualTime;
  private long taken;

  RankQueue(ToDoubleFunction<CustomerId> weights, double burstWork) {
    this.weights = weights;
    this.burstWork = burstWork;
  }

  int size() {
    return byDeadline.size();
  }

  boolean isEmpty() {
    return byDeadline.isEmpty();
  }

  /** Accounts for the time that has passed; must be called before every change of the queue. */
  void advance(long nowNanos) {
    drainMeter.advance(nowNanos, !isEmpty());
  }

  /** Returns the request that is served next; the queue must not be empty. */
  WaitingRequest first() {
    return waiting.first().first();
  }

  /** Returns the waiting request with the earliest deadline; the queue must not be empty. */
  WaitingRequest firstByDeadline() {
    return byDeadline.first();
  }

  void add(WaitingRequest request) {
    CustomerQueue queue = queueOf(request.request().customer());
    if (queue.isEmpty()) {
      queue.raiseTo(virtualTime - burstWork);
      queue.add(request);
      waiting.add(queue);
      waitingWeight += queue.weight();
    } else {
      queue.add(request);
    }
    byDeadline.add(request);
    work += request.work();
  }

  /**
   * Returns the first request of each of the customers that are next in the fair order, in that
   * order.
   */
  List<RoutingRequest> candidates(int max) {
    List<RoutingRequest> candidates = new ArrayList<>(max);
    for (CustomerQueue queue : waiting) {
      if (candidates.size() == max) {
        break;
      }
      candidates.add(queue.first().request());
    }
    return candidates;
  }

  /** Removes and returns the first request, and charges its customer. */
  WaitingRequest take() {
    return takeFrom(waiting.first());
  }

  /** Removes a request and charges its customer, if the request is the first of that customer. */
  Optional<WaitingRequest> takeIfFirst(RoutingRequest request) {
    CustomerQueue queue = customers.get(request.customer());
    if (queue == null || queue.isEmpty() || !queue.first().request().equals(request)) {
      return Optional.empty();
    }
    return Optional.of(takeFrom(queue));
  }

  private WaitingRequest takeFrom(CustomerQueue queue) {
    WaitingRequest request = queue.first();
    virtualTime = Math.max(virtualTime, waiting.first().startTag());
    waiting.remove(queue);
    queue.charge(request.work());
    queue.remove(request);
    if (queue.isEmpty()) {
      waitingWeight -= queue.weight();
    } else {
      waiting.add(queue);
    }
    removeFromTotals(request);
    drainMeter.recordServed(request.work());
    taken++;
    if (taken % REQUESTS_PER_IDLE_SWEEP == 0) {
      customers.values().removeIf(c -> c.isEmpty() && c.startTag() <= virtualTime - burstWork);
    }
    return request;
  }

  /** Removes a request without charging its customer. */
  void remove(WaitingRequest request) {
    CustomerQueue queue = customers.get(request.request().customer());
    if (queue == null || !queue.remove(request)) {
      return;
    }
    if (queue.isEmpty()) {
      waiting.remove(queue);
      waitingWeight -= queue.weight();
    }
    removeFromTotals(request);
  }

  /**
   * Returns the request that a full queue drops in favour of the offered one: the last request of
   * the customer with the most waiting work in proportion to its weight.
   *
   * <p>Returns null if that customer is the one of the offered request, or has no more waiting work
   * in proportion to its weight than the latter would have.
   */
  WaitingRequest displacedBy(WaitingRequest offered) {
    CustomerQueue own = queueOf(offered.request().customer());
    CustomerQueue largest = null;
    for (CustomerQueue queue : waiting) {
      if (largest == null || queue.workPerWeight() > largest.workPerWeight()) {
        largest = queue;
      }
    }
    double ownWork = own.workPerWeight() + offered.work() / own.weight();
    if (largest == null || largest == own || largest.workPerWeight() <= ownWork) {
      return null;
    }
    return largest.last();
  }

  /** Returns the expected wait of a new request, in nanoseconds; 0 if unknown. */
  long expectedWaitNanos(RoutingRequest request) {
    OptionalDouble rate = drainMeter.rate();
    if (isEmpty() || rate.isEmpty()) {
      return 0;
    }
    CustomerQueue own = customers.get(request.customer());
    double weight = own == null ? weights.applyAsDouble(request.customer()) : own.weight();
    double ownWork = own == null || own.isEmpty() ? 0 : own.workPerWeight();
    double startTag = own == null ? 0 : own.startTag();
    double credit = Math.max(0, virtualTime - Math.max(startTag, virtualTime - burstWork));
    double workAhead = Math.max(0, ownWork - credit);
    double totalWeight = waitingWeight + (own == null || own.isEmpty() ? weight : 0);
    return (long) (Math.min(work, workAhead * totalWeight) / rate.getAsDouble());
  }

  /** Returns the backlog. */
  Backlog backlog() {
    OptionalDouble rate = drainMeter.rate();
    long drainNanos = isEmpty() || rate.isEmpty() ? 0 : (long) (work / rate.getAsDouble());
    return new Backlog(size(), drainNanos);
  }

  private void removeFromTotals(WaitingRequest request) {
    byDeadline.remove(request);
    work = byDeadline.isEmpty() ? 0 : work - request.work();
    if (waiting.isEmpty()) {
      waitingWeight = 0;
    }
  }

  private CustomerQueue queueOf(CustomerId customer) {
    return customers.computeIfAbsent(
        customer, c -> new CustomerQueue(c, requirePositive(c, weights.applyAsDouble(c))));
  }

  private static double requirePositive(CustomerId customer, double weight) {
    if (!(weight > 0)) {
      throw new IllegalArgumentException(
          "The weight of customer " + customer + " must be above 0: " + weight);
    }
    return weight;
  }
}
