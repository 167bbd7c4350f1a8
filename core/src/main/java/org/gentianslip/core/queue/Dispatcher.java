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
 * Joins a queue and a routing policy: tells which waiting request goes where now.
 *
 * <p>The holder offers each request, refuses what {@link #expire} returns, and calls {@link #next}
 * until it returns nothing: after an offer, after an answer has ended, after a load report, and
 * while requests wait at least every {@value #POLL_MILLIS} ms. It carries out a placement and
 * counts it in the next view before it calls again, and tells {@link #ended} of each request that
 * it sent to an engine.
 *
 * <p>Safe for use by several threads: {@link #next} holds the dispatcher's lock, so two threads
 * never place the same request.
 */
public final class Dispatcher {

  /** The greatest time between two calls of {@link #next} while requests wait. */
  public static final int POLL_MILLIS = 20;

  private static final int MAX_CANDIDATES = 8;

  private final RequestQueue queue;
  private final RoutingPolicy policy;
  private final Map<Holder, Integer> inFlight = new HashMap<>();
  private final DemandMeter urgentDemand = new DemandMeter();
  private int urgentInFlight;
  private int otherInFlight;

  private Dispatcher(RequestQueue queue, RoutingPolicy policy) {
    this.queue = queue;
    this.policy = policy;
  }

  /** Returns a dispatcher that places the queue's requests by the policy. */
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
   * Takes out the requests that can no longer meet their deadline; they have not run.
   *
   * @see RequestQueue#expire
   */
  public List<RoutingRequest> expire(long nowNanos) {
    return queue.expire(nowNanos);
  }

  /** Notes that a request that was placed at an engine has ended, in whatever way. */
  public synchronized void ended(long nowNanos, RoutingRequest request) {
    inFlight.computeIfPresent(Holder.of(request), (h, count) -> count > 1 ? count - 1 : null);
    count(nowNanos, request.rank(), -1);
  }

  /**
   * Takes out the next request that can be placed or must be refused now.
   *
   * <p>Inside a rank, the first request that need not wait goes, of the first requests of the
   * customers that come first. If the other rank's turn has come but its requests must wait, the
   * urgent rank goes instead. The urgent rank's turn never passes to the other rank.
   *
   * @param nowNanos the present time, in nanoseconds of the monotonic clock
   * @param view what is known of engines and regions; the state of the queue is set here
   * @return the request and the decision, or nothing if all that waits must wait on
   */
  public synchronized Optional<Placement> next(long nowNanos, RoutingView view) {
    Optional<RoutingRequest> first = queue.peek(nowNanos);
    if (first.isEmpty()) {
      return Optional.empty();
    }
    Optional<Placement> placed = placeOneOf(nowNanos, first.get().rank(), view);
    if (placed.isPresent() || first.get().rank() == Rank.URGENT) {
      return placed;
    }
    return placeOneOf(nowNanos, Rank.URGENT, view);
  }

  private void count(long nowNanos, Rank rank, int change) {
    if (rank == Rank.URGENT) {
      urgentInFlight += change;
      urgentDemand.note(nowNanos, urgentInFlight + queue.size(Rank.URGENT));
    } else {
      otherInFlight += change;
    }
  }

  private Optional<Placement> placeOneOf(long nowNanos, Rank rank, RoutingView view) {
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
            inFlight.getOrDefault(Holder.of(request), 0),
            otherInFlight,
            urgentDemand.mean(nowNanos));
    RoutingDecision decision = policy.decide(nowNanos, request, view.withQueue(current));
    if (decision instanceof RoutingDecision.Wait) {
      return Optional.empty();
    }
    Optional<RoutingRequest> taken = queue.takeIfFirst(nowNanos, request);
    if (taken.isPresent() && decision instanceof RoutingDecision.ToEngine) {
      inFlight.merge(Holder.of(request), 1, Integer::sum);
      count(nowNanos, request.rank(), 1);
    }
    return taken.map(r -> new Placement(r, decision));
  }

  /**
   * Names whose work is in flight. Immutable and safe for use by several threads.
   *
   * @param rank the rank
   * @param customer the customer
   */
  private record Holder(Rank rank, CustomerId customer) {
    private static Holder of(RoutingRequest request) {
      return new Holder(request.rank(), request.customer());
    }
  }
}
