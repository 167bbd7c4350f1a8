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
 * Holds the waiting requests of one rank and serves customers in proportion to their weights.
 *
 * <p>It orders customers by start-time fair queueing: the customer with the least start tag goes
 * first, and a customer that was idle starts at most the burst credit before the present tag. A
 * customer is in {@code waiting} exactly if it has a request. Not safe for use by several threads;
 * its queue's lock guards it.
 */
final class RankQueue {

  private static final int IDLE_SWEEP_PERIOD = 256;

  private final ToDoubleFunction<CustomerId> weights;
  private final double burstWork;
  private final Map<CustomerId, CustomerQueue> customers = new HashMap<>();
  private final TreeSet<CustomerQueue> waiting = new TreeSet<>();
  private final TreeSet<WaitingRequest> byDeadline = new TreeSet<>();
  private final DrainMeter meter = new DrainMeter();
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

  /** Notes the time that passed; every change of the queue calls it first. */
  void advance(long nowNanos) {
    meter.advance(nowNanos, !isEmpty());
  }

  /** Returns the request that is served next; the queue must not be empty. */
  WaitingRequest first() {
    return waiting.first().first();
  }

  /** Returns the request with the earliest deadline; the queue must not be empty. */
  WaitingRequest mostPressing() {
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

  /** Returns the first requests of the customers that come first, in their order. */
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

  /** Takes the first request out and charges its customer. */
  WaitingRequest take() {
    return takeFrom(waiting.first());
  }

  /** Takes a request out and charges its customer, if it is the first of its customer. */
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
    forget(request);
    meter.served(request.work());
    taken++;
    if (taken % IDLE_SWEEP_PERIOD == 0) {
      customers.values().removeIf(c -> c.isEmpty() && c.startTag() <= virtualTime - burstWork);
    }
    return request;
  }

  /** Takes a request out without a charge. */
  void remove(WaitingRequest request) {
    CustomerQueue queue = customers.get(request.request().customer());
    if (queue == null || !queue.remove(request)) {
      return;
    }
    if (queue.isEmpty()) {
      waiting.remove(queue);
      waitingWeight -= queue.weight();
    }
    forget(request);
  }

  /**
   * Returns the last request of the customer with the most waiting work for its weight, or null if
   * that is the offered request's customer or one that waits no longer than it.
   */
  WaitingRequest displacedBy(WaitingRequest offered) {
    CustomerQueue own = queueOf(offered.request().customer());
    CustomerQueue longest = null;
    for (CustomerQueue queue : waiting) {
      if (longest == null || queue.workPerWeight() > longest.workPerWeight()) {
        longest = queue;
      }
    }
    double ownWork = own.workPerWeight() + offered.work() / own.weight();
    if (longest == null || longest == own || longest.workPerWeight() <= ownWork) {
      return null;
    }
    return longest.last();
  }

  /** Returns the expected wait of a new request, in nanoseconds; 0 if there is no telling. */
  long expectedWaitNanos(RoutingRequest request) {
    OptionalDouble rate = meter.rate();
    if (isEmpty() || rate.isEmpty()) {
      return 0;
    }
    CustomerQueue own = customers.get(request.customer());
    double weight = own == null ? weights.applyAsDouble(request.customer()) : own.weight();
    double ownWork = own == null || own.isEmpty() ? 0 : own.workPerWeight();
    double startTag = own == null ? 0 : own.startTag();
    double credit = Math.max(0, virtualTime - Math.max(startTag, virtualTime - burstWork));
    double ahead = Math.max(0, ownWork - credit);
    double weightOfAll = waitingWeight + (own == null || own.isEmpty() ? weight : 0);
    return (long) (Math.min(work, ahead * weightOfAll) / rate.getAsDouble());
  }

  /** Returns what waits. */
  Backlog backlog() {
    OptionalDouble rate = meter.rate();
    long drainNanos = isEmpty() || rate.isEmpty() ? 0 : (long) (work / rate.getAsDouble());
    return new Backlog(size(), drainNanos);
  }

  private void forget(WaitingRequest request) {
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
