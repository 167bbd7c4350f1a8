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
 * The queue of the requests of one model that wait in an instance.
 *
 * <p>The urgent rank is served first, but while requests of the other rank wait, that rank gets a
 * minimum share of the served work; work served shortly before counts towards it. Within a rank,
 * customers are served in proportion to their weights, with a credit for short bursts of a customer
 * below its share, and the requests of a customer are served by deadline. The queue is bounded:
 * when a rank is full, the customer with the most waiting work in proportion to its weight loses
 * its last request. A request that cannot meet its deadline is refused when it is offered, if that
 * can be foreseen, and is returned by {@link #expire} otherwise.
 *
 * <p>Every admitted request passes through the queue, even if capacity is free, so that all served
 * work counts towards the shares. Callers call {@link #offer}, then {@link #expire}, then
 * repeatedly {@link #peek} and, if the routing policy places the request, {@link #take}, until the
 * policy lets the request wait.
 *
 * <p>A request is in the queue at most once, and at most {@link QueueLimits#maxLength} requests of
 * a rank wait. Thread-safe: every method holds the queue's own lock for a time that grows with the
 * logarithm of the length; an offer to a full rank also examines each customer.
 */
public final class RequestQueue {

  private static final long RETRY_AFTER_MILLIS = 1000;
  private static final double MAX_CREDIT_REQUESTS = 2;

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
   * @param weights returns the weight of a customer, greater than 0
   */
  public static RequestQueue of(QueueLimits limits, ToDoubleFunction<CustomerId> weights) {
    return new RequestQueue(limits, weights);
  }

  /**
   * Offers a request.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @param request the request
   * @throws IllegalArgumentException if a request with the same id waits already
   */
  public synchronized OfferResult offer(long nowNanos, RoutingRequest request) {
    if (byId.containsKey(request.id())) {
      throw new IllegalArgumentException("Request " + request.id() + " is already waiting");
    }
    advance(nowNanos);
    RankQueue rank = ranks.get(request.rank());
    long waitNanos = rank.expectedWaitNanos(request);
    if (nowNanos + waitNanos + limits.firstTokenNanos() > request.deadlineNanos()) {
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

  /** Removes and returns the requests that can no longer meet their deadline. */
  public synchronized List<RoutingRequest> expire(long nowNanos) {
    advance(nowNanos);
    List<RoutingRequest> expired = new ArrayList<>();
    for (RankQueue rank : ranks.values()) {
      while (!rank.isEmpty() && cannotMeetDeadline(nowNanos, rank.firstByDeadline())) {
        WaitingRequest request = rank.firstByDeadline();
        discard(request);
        expired.add(request.request());
      }
    }
    return expired;
  }

  /** Returns the request that is served next, without removing it. */
  public synchronized Optional<RoutingRequest> peek(long nowNanos) {
    advance(nowNanos);
    RankQueue urgent = ranks.get(Rank.URGENT);
    RankQueue other = ranks.get(Rank.OTHER);
    if (other.isEmpty() || (!urgent.isEmpty() && otherCredit < other.first().work())) {
      return peek(nowNanos, Rank.URGENT);
    }
    return peek(nowNanos, Rank.OTHER);
  }

  /** Returns the request of a rank that is served next, without removing it. */
  public synchronized Optional<RoutingRequest> peek(long nowNanos, Rank rank) {
    RankQueue queue = ranks.get(rank);
    return queue.isEmpty() ? Optional.empty() : Optional.of(queue.first().request());
  }

  /**
   * Removes the request of a rank that is served next, and charges its customer and rank.
   *
   * @return the request that {@link #peek(long, Rank)} returns, or nothing if no request of the
   *     rank waits
   */
  public synchronized Optional<RoutingRequest> take(long nowNanos, Rank rank) {
    advance(nowNanos);
    RankQueue queue = ranks.get(rank);
    if (queue.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(charge(rank, queue.take()));
  }

  /**
   * Returns the first request of each of the customers of a rank that are next in the fair order.
   */
  synchronized List<RoutingRequest> candidates(long nowNanos, Rank rank, int max) {
    advance(nowNanos);
    return ranks.get(rank).candidates(max);
  }

  /**
   * Removes a request that {@link #candidates} returned, if it still is the first of its customer,
   * and charges it.
   */
  synchronized Optional<RoutingRequest> takeIfFirst(long nowNanos, RoutingRequest request) {
    advance(nowNanos);
    return ranks
        .get(request.rank())
        .takeIfFirst(request)
        .map(taken -> charge(request.rank(), taken));
  }

  /**
   * Removes and returns the request that is served next; combines {@link #peek} and {@link #take}.
   */
  public synchronized Optional<RoutingRequest> next(long nowNanos) {
    return peek(nowNanos).flatMap(r -> take(nowNanos, r.rank()));
  }

  /**
   * Removes a request, for example because its caller has disconnected, and returns whether it was
   * waiting.
   */
  public synchronized boolean remove(long nowNanos, RequestId id) {
    advance(nowNanos);
    WaitingRequest request = byId.get(id);
    if (request == null) {
      return false;
    }
    discard(request);
    return true;
  }

  /** Returns the backlog of a rank. */
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

  private boolean cannotMeetDeadline(long nowNanos, WaitingRequest waiting) {
    return nowNanos + limits.firstTokenNanos() > waiting.request().deadlineNanos();
  }

  private void chargeRank(Rank rank, double work) {
    RankQueue other = ranks.get(Rank.OTHER);
    if (rank == Rank.OTHER) {
      otherCredit = Math.max(otherCredit - work, -MAX_CREDIT_REQUESTS * work);
    } else if (other.isEmpty()) {
      otherCredit = Math.min(otherCredit, 0);
    } else {
      double earned = work * limits.otherFloor() / (1 - limits.otherFloor());
      otherCredit = Math.min(otherCredit + earned, MAX_CREDIT_REQUESTS * other.first().work());
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
