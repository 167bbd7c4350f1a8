package org.gentianslip.core.queue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.Rank;
import org.gentianslip.core.routing.QueueView;
import org.gentianslip.core.routing.RoutingDecision;
import org.gentianslip.core.routing.RoutingPolicy;
import org.gentianslip.core.routing.RoutingRequest;
import org.gentianslip.core.routing.RoutingView;

/**
 * Dispatches the waiting requests of a queue by a routing policy.
 *
 * <p>The caller offers each request, refuses the requests that {@link #expire} returns, and calls
 * {@link #next} until it returns nothing: after an offer, after the end of an answer, after a load
 * report, and at least every {@value #POLL_MILLIS} ms while requests wait. It carries out each
 * placement and counts it in the next view before it calls {@link #next} again. When a request that
 * it sent to an engine has ended, it calls {@link #recordEnd}.
 *
 * <p>Thread-safe: {@link #next} holds the dispatcher's lock, so no two threads place the same
 * request.
 */
public final class Dispatcher {

  /** The maximum time between two calls of {@link #next} while requests wait, in milliseconds. */
  public static final int POLL_MILLIS = 20;

  private static final int MAX_CANDIDATES = 8;

  private final RequestQueue queue;
  private final RoutingPolicy policy;
  private final Map<CustomerKey, Integer> inFlight = new HashMap<>();
  private final DemandMeter urgentDemand = new DemandMeter();
  private int urgentInFlight;
  private int otherInFlight;

  private Dispatcher(RequestQueue queue, RoutingPolicy policy) {
    this.queue = queue;
    this.policy = policy;
  }

  /** Returns a dispatcher of the given queue and policy. */
  public static Dispatcher of(RequestQueue queue, RoutingPolicy policy) {
    return new Dispatcher(queue, policy);
  }

  /**
   * Offers a request to the queue.
   *
   * @see RequestQueue#offer
   */
  public OfferResult offer(long nowNanos, RoutingRequest request) {
    return queue.offer(nowNanos, request);
  }

  /**
   * Removes and returns the requests that can no longer meet their deadline; they have not run.
   *
   * @see RequestQueue#expire
   */
  public List<RoutingRequest> expire(long nowNanos) {
    return queue.expire(nowNanos);
  }

  /** Records that a request that was placed at an engine has ended, successfully or not. */
  public synchronized void recordEnd(long nowNanos, RoutingRequest request) {
    inFlight.computeIfPresent(
        CustomerKey.of(request), (key, count) -> count > 1 ? count - 1 : null);
    updateInFlight(nowNanos, request.rank(), -1);
  }

  /**
   * Removes and returns the next request that can be placed or must be refused now.
   *
   * <p>Within a rank, the first requests of the customers that are next in the fair order are tried
   * in that order; the first one that need not wait is placed. If it is the other rank's turn but
   * its requests must wait, the urgent rank is tried instead. The turn of the urgent rank never
   * passes to the other rank.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @param view the known state of engines and regions; this method sets the state of the queue
   * @return the request and the decision, or nothing if all requests must continue to wait
   */
  public synchronized Optional<Placement> next(long nowNanos, RoutingView view) {
    Optional<RoutingRequest> first = queue.peek(nowNanos);
    if (first.isEmpty()) {
      return Optional.empty();
    }
    Optional<Placement> placed = placeFirstPossible(nowNanos, first.get().rank(), view);
    if (placed.isPresent() || first.get().rank() == Rank.URGENT) {
      return placed;
    }
    return placeFirstPossible(nowNanos, Rank.URGENT, view);
  }

  private void updateInFlight(long nowNanos, Rank rank, int change) {
    if (rank == Rank.URGENT) {
      urgentInFlight += change;
      urgentDemand.record(nowNanos, urgentInFlight + queue.size(Rank.URGENT));
    } else {
      otherInFlight += change;
    }
  }

  private Optional<Placement> placeFirstPossible(long nowNanos, Rank rank, RoutingView view) {
    for (RoutingRequest request : queue.candidates(nowNanos, rank, MAX_CANDIDATES)) {
      Optional<Placement> placed = place(nowNanos, request, view);
      if (placed.isPresent()) {
        return placed;
      }
    }
    return Optional.empty();
  }

  private Optional<Placement> place(long nowNanos, RoutingRequest request, RoutingView view) {
    var current =
        new QueueView(
            queue.backlog(nowNanos, Rank.URGENT),
            queue.backlog(nowNanos, Rank.OTHER),
            inFlight.getOrDefault(CustomerKey.of(request), 0),
            otherInFlight,
            urgentDemand.mean(nowNanos));
    RoutingDecision decision = policy.decide(nowNanos, request, view.withQueue(current));
    if (decision instanceof RoutingDecision.Wait) {
      return Optional.empty();
    }
    Optional<RoutingRequest> taken = queue.takeIfFirst(nowNanos, request);
    if (taken.isPresent() && decision instanceof RoutingDecision.ToEngine) {
      inFlight.merge(CustomerKey.of(request), 1, Integer::sum);
      updateInFlight(nowNanos, request.rank(), 1);
    }
    return taken.map(r -> new Placement(r, decision));
  }

  /**
   * The rank and the customer of requests in flight. Immutable and thread-safe.
   *
   * @param rank the rank
   * @param customer the customer
   */
  private record CustomerKey(Rank rank, CustomerId customer) {
    private static CustomerKey of(RoutingRequest request) {
      return new CustomerKey(request.rank(), request.customer());
    }
  }
}
