package org.gentianslip.core.queue;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.Rank;
import org.gentianslip.core.id.RequestId;
import org.gentianslip.core.routing.QueueView.Backlog;
import org.gentianslip.core.routing.RoutingReason;
import org.gentianslip.core.routing.RoutingRequest;

/**
 * Orders the requests of one model that wait in an instance.
 *
 * <p>The urgent rank goes first, but while the other one waits it gets its floor of the served
 * work; what it got shortly before counts. Inside a rank, customers are served in proportion to
 * their weights, with a credit for short bursts of a customer below its share, and the requests of
 * a customer by deadline. The queue is bounded: when a rank is full, the customer with the most
 * waiting work for its weight loses its last request. A request that can't meet its deadline is
 * refused when it is offered if that shows, and is returned by {@link #expire} otherwise.
 *
 * <p>Every admitted request passes through the queue, also when capacity is free, so that shares
 * are accounted. The use is: {@link #offer}, then {@link #expire}, then {@link #peek} and, if the
 * routing policy places the request, {@link #take}, until the policy lets the request wait.
 *
 * <p>A request is in the queue at most once, and at most {@link QueueLimits#maxLength} requests of
 * a rank are. Safe for use by several threads: every method holds the queue's own lock for a time
 * that grows with the logarithm of the length, except that a full rank also looks at each customer.
 */
public final class RequestQueue {

  private static final long RETRY_AFTER_MILLIS = 1000;
  private static final double CREDIT_REQUESTS = 2;

  private final QueueLimits limits;
  private final Map<Rank, RankQueue> ranks = new EnumMap<>(Rank.class);
  private final Map<RequestId, WaitingRequest> byId = new HashMap<>();
  private long sequence;
  private double otherCredit;

  private RequestQueue(QueueLimits limits, ToDoubleFunction<CustomerId> weights) {
    this.limits = limits;
    for (Rank rank : Rank.values()) {
      ranks.put(rank, new RankQueue(weights, limits.burstWork()));
    }
  }

  /**
   * Returns an empty queue.
   *
   * @param limits the limits
   * @param weights gives the weight of a customer, above 0
   */
  public static RequestQueue of(QueueLimits limits, ToDoubleFunction<CustomerId> weights) {
    return new RequestQueue(limits, weights);
  }

  /**
   * Offers a request.
   *
   * @param nowNanos the present time, in nanoseconds of the monotonic clock
   * @param request the request
   * @throws IllegalArgumentException if a request of that id waits
   */
  public synchronized OfferResult offer(long nowNanos, RoutingRequest request) {
    if (byId.containsKey(request.id())) {
      throw new IllegalArgumentException("Request " + request.id() + " waits already");
    }
    advance(nowNanos);
    RankQueue rank = ranks.get(request.rank());
    long wait = rank.expectedWaitNanos(request);
    if (nowNanos + wait + limits.firstTokenNanos() > request.deadlineNanos()) {
      return new OfferResult.Refused(RETRY_AFTER_MILLIS, RoutingReason.DEADLINE);
    }
    var offered = new WaitingRequest(request, sequence++, RequestWork.of(request));
    if (rank.size() < limits.maxLength()) {
      add(rank, offered);
      return new OfferResult.Accepted();
    }
    WaitingRequest displaced = rank.displacedBy(offered);
    if (displaced == null) {
      return new OfferResult.Refused(RETRY_AFTER_MILLIS, RoutingReason.OVER_SHARE);
    }
    discard(displaced);
    add(rank, offered);
    return new OfferResult.AcceptedByDisplacing(displaced.request());
  }

  /** Takes out and returns the requests that can no longer meet their deadline. */
  public synchronized List<RoutingRequest> expire(long nowNanos) {
    advance(nowNanos);
    List<RoutingRequest> expired = new ArrayList<>();
    for (RankQueue rank : ranks.values()) {
      while (!rank.isEmpty() && isHopeless(nowNanos, rank.mostPressing())) {
        WaitingRequest request = rank.mostPressing();
        discard(request);
        expired.add(request.request());
      }
    }
    return expired;
  }

  /** Returns the request that goes next, and leaves it in the queue. */
  public synchronized Optional<RoutingRequest> peek(long nowNanos) {
    advance(nowNanos);
    RankQueue urgent = ranks.get(Rank.URGENT);
    RankQueue other = ranks.get(Rank.OTHER);
    if (other.isEmpty() || (!urgent.isEmpty() && otherCredit < other.first().work())) {
      return peek(nowNanos, Rank.URGENT);
    }
    return peek(nowNanos, Rank.OTHER);
  }

  /** Returns the request of a rank that goes next, and leaves it in the queue. */
  public synchronized Optional<RoutingRequest> peek(long nowNanos, Rank rank) {
    RankQueue queue = ranks.get(rank);
    return queue.isEmpty() ? Optional.empty() : Optional.of(queue.first().request());
  }

  /**
   * Takes out the request of a rank that goes next and charges it to its customer and rank.
   *
   * @return the request that {@link #peek(long, Rank)} told, or nothing if none of the rank waits
   */
  public synchronized Optional<RoutingRequest> take(long nowNanos, Rank rank) {
    advance(nowNanos);
    RankQueue queue = ranks.get(rank);
    if (queue.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(charge(rank, queue.take()));
  }

  /** Returns the first requests of the customers of a rank that come first, in their order. */
  synchronized List<RoutingRequest> candidates(long nowNanos, Rank rank, int max) {
    advance(nowNanos);
    return ranks.get(rank).candidates(max);
  }

  /** Takes out a request that {@link #candidates} told, if it still is one. */
  synchronized Optional<RoutingRequest> takeIfFirst(long nowNanos, RoutingRequest request) {
    advance(nowNanos);
    return ranks
        .get(request.rank())
        .takeIfFirst(request)
        .map(taken -> charge(request.rank(), taken));
  }

  /** Takes out and returns the request that goes next: {@link #peek} and {@link #take} in one. */
  public synchronized Optional<RoutingRequest> next(long nowNanos) {
    return peek(nowNanos).flatMap(r -> take(nowNanos, r.rank()));
  }

  /** Takes a request out, as when its caller has gone; returns whether it waited. */
  public synchronized boolean remove(long nowNanos, RequestId id) {
    advance(nowNanos);
    WaitingRequest request = byId.get(id);
    if (request == null) {
      return false;
    }
    discard(request);
    return true;
  }

  /** Returns what waits of a rank. */
  public synchronized Backlog backlog(long nowNanos, Rank rank) {
    advance(nowNanos);
    return ranks.get(rank).backlog();
  }

  /** Returns the number of waiting requests of a rank. */
  public synchronized int size(Rank rank) {
    return ranks.get(rank).size();
  }

  private RoutingRequest charge(Rank rank, WaitingRequest taken) {
    byId.remove(taken.request().id());
    chargeRank(rank, taken.work());
    return taken.request();
  }

  private boolean isHopeless(long nowNanos, WaitingRequest waiting) {
    return nowNanos + limits.firstTokenNanos() > waiting.request().deadlineNanos();
  }

  private void chargeRank(Rank rank, double work) {
    RankQueue other = ranks.get(Rank.OTHER);
    if (rank == Rank.OTHER) {
      otherCredit = Math.max(otherCredit - work, -CREDIT_REQUESTS * work);
    } else if (other.isEmpty()) {
      otherCredit = Math.min(otherCredit, 0);
    } else {
      double earned = work * limits.otherFloor() / (1 - limits.otherFloor());
      otherCredit = Math.min(otherCredit + earned, CREDIT_REQUESTS * other.first().work());
    }
  }

  private void add(RankQueue rank, WaitingRequest request) {
    rank.add(request);
    byId.put(request.request().id(), request);
  }

  private void discard(WaitingRequest request) {
    ranks.get(request.request().rank()).remove(request);
    byId.remove(request.request().id());
  }

  private void advance(long nowNanos) {
    ranks.values().forEach(r -> r.advance(nowNanos));
  }
}
