package org.gentianslip.core.queue;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.Rank;
import org.gentianslip.core.id.RequestId;
import org.gentianslip.core.routing.Requests;
import org.gentianslip.core.routing.RoutingDecision;
import org.gentianslip.core.routing.RoutingPolicy;
import org.gentianslip.core.routing.RoutingReason;
import org.gentianslip.core.routing.RoutingView;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class DispatcherTest {

  private static final RoutingDecision WAIT =
      new RoutingDecision.Wait(1, RoutingReason.ENGINES_BUSY);
  private static final RoutingDecision SEND =
      new RoutingDecision.ToEngine(EngineId.of("e"), RoutingReason.LEAST_LOADED);
  private static final RoutingView VIEW = new RoutingView(Requests.HOME, List.of(), List.of());

  private final RequestQueue queue = RequestQueue.of(new QueueLimits(9, 0.9, 0, 0), c -> 1);

  @BeforeEach
  void fill() {
    for (int i = 0; i < 4; i++) {
      queue.offer(0, Requests.of("u" + i, "shop", Rank.URGENT, Long.MAX_VALUE));
      queue.offer(0, Requests.of("o" + i, "shop", Rank.OTHER, Long.MAX_VALUE));
    }
  }

  private String next(RoutingPolicy policy) {
    return Dispatcher.of(queue, policy)
        .next(0, VIEW)
        .map(Placement::request)
        .map(r -> r.id().value())
        .orElse("none");
  }

  @Test
  void placesTheNextRequest() {
    assertThat(next((now, r, v) -> SEND), is("u0"));
  }

  @Test
  void keepsRequestsThatMustWaitInTheQueue() {
    next((now, r, v) -> WAIT);
    assertThat(queue.remove(0, RequestId.of("u0")), is(true));
  }

  @Test
  void passesTheTurnOfTheOtherRankToTheUrgentRankWhileTheOtherRankMustWait() {
    queue.next(0);
    assertThat(next((now, r, v) -> r.rank() == Rank.OTHER ? WAIT : SEND), is("u1"));
  }

  @Test
  void neverPassesTheTurnOfTheUrgentRankToTheOtherRank() {
    assertThat(next((now, r, v) -> r.rank() == Rank.URGENT ? WAIT : SEND), is("none"));
  }

  @Test
  void placesTheNextCustomersRequestWhileTheFirstMustWait() {
    queue.offer(0, Requests.of("late", "studio", Rank.URGENT, Long.MAX_VALUE));
    RoutingPolicy policy = (now, r, v) -> r.customer().value().equals("shop") ? WAIT : SEND;
    assertThat(next(policy), is("late"));
  }

  @Test
  void passesTheCustomersRequestsInFlightToThePolicy() {
    RoutingPolicy policy = (now, r, v) -> v.queue().customerInFlight() < 2 ? SEND : WAIT;
    var dispatcher = Dispatcher.of(queue, policy);
    var placed = dispatcher.next(0, VIEW).orElseThrow();
    dispatcher.next(0, VIEW);
    dispatcher.recordEnd(0, placed.request());
    assertThat(dispatcher.next(0, VIEW).isPresent(), is(true));
  }
}
