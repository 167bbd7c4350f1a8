package org.gentianslip.core.queue;

import java.util.List;
import java.util.Optional;
import org.gentianslip.core.id.Rank;
import org.gentianslip.core.routing.RouteDecision;
import org.gentianslip.core.routing.RouteRequest;
import org.gentianslip.core.routing.RouteView;
import org.gentianslip.core.routing.RoutingPolicy;

/**
 * Joins a queue and a routing policy: tells which waiting request goes where now.
 *
 * <p>The holder offers each request, refuses what {@link #expire} returns, and calls {@link #next}
 * until it returns nothing: after an offer, after an answer has ended, after a load report, and
 * while requests wait at least every {@value #POLL_MILLIS} ms. It carries out a placement and
 * counts it in the next view before it calls again.
 *
 * <p>Safe for use by several threads: {@link #next} holds the dispatcher's lock, so two threads
 * never place the same request.
 */
public final class Dispatcher {

  /** The greatest time between two calls of {@link #next} while requests wait. */
  public static final int POLL_MILLIS = 20;

  private final RequestQueue queue;
  private final RoutingPolicy policy;

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
  public OfferResult offer(long nowNanos, RouteRequest request) {
    return queue.offer(nowNanos, request);
  }

  /**
   * Takes out the requests that can no longer meet their deadline; they have not run.
   *
   * @see RequestQueue#expire
   */
  public List<RouteRequest> expire(long nowNanos) {
    return queue.expire(nowNanos);
  }

  /**
   * Takes out the next request that can be placed or must be refused now.
   *
   * <p>If the other rank's turn has come but its request must wait, the urgent rank goes instead.
   * The urgent rank's turn never passes to the other rank.
   *
   * @param nowNanos the present time, in nanoseconds of the monotonic clock
   * @param view what is known of engines and regions; its backlog is set here
   * @return the request and the decision, or nothing if all that waits must wait on
   */
  public synchronized Optional<Placement> next(long nowNanos, RouteView view) {
    RouteView current = view.withWaits(queue.waits(nowNanos));
    Optional<RouteRequest> first = queue.peek(nowNanos);
    Optional<Placement> placed = first.flatMap(r -> place(nowNanos, r, current));
    if (placed.isPresent() || first.isEmpty() || first.get().rank() == Rank.URGENT) {
      return placed;
    }
    return queue.peek(nowNanos, Rank.URGENT).flatMap(r -> place(nowNanos, r, current));
  }

  private Optional<Placement> place(long nowNanos, RouteRequest request, RouteView view) {
    RouteDecision decision = policy.decide(nowNanos, request, view);
    if (decision instanceof RouteDecision.Wait) {
      return Optional.empty();
    }
    return queue.takeIfNext(nowNanos, request).map(r -> new Placement(r, decision));
  }
}
