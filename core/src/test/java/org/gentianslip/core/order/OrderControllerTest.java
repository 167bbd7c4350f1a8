package org.gentianslip.core.order;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.InstanceId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class OrderControllerTest {

  private static final long SECOND = 1_000_000_000L;
  private static final InstanceId SELF = InstanceId.of("self");
  private static final EngineId ENGINE = EngineId.of("engine");
  private static final OrderTimes TIMES =
      OrderTimes.of(Duration.ofSeconds(10), Duration.ofSeconds(2), Duration.ofSeconds(1));
  private static final DesiredEngineState PREFILL =
      new DesiredEngineState(Set.of(), Set.of(), "", "prefill");
  private static final DesiredEngineState MODEL =
      new DesiredEngineState(Set.of("m"), Set.of(), "", "");

  private final OrderController controller = new OrderController(SELF, TIMES, 1);

  @Nested
  class WithTheCurrentList {

    @BeforeEach
    void read() {
      controller.onList(view(7, 0, SELF), 0);
    }

    @Test
    void ordersTheFirstDifferenceFromTheDesiredState() {
      var send = (OrderDecision.Send) controller.decide(ENGINE, observed(true, 0), PREFILL, 0);
      assertThat(
          send.order(),
          is(new EngineOrder(ENGINE, OrderType.SET_ROLE, "prefill", new Fence(7, 0))));
    }

    @Test
    @DisplayName("waits for a quiet time at an engine that ignores fences")
    void waitsForQuietTime() {
      assertThat(reason(observed(false, SECOND), PREFILL, SECOND), is(OrderReason.QUIET_TIME));
      controller.onList(view(7, 15 * SECOND, SELF), 15 * SECOND);
      assertThat(
          controller.decide(ENGINE, observed(false, 15 * SECOND), PREFILL, 15 * SECOND),
          instanceOf(OrderDecision.Send.class));
    }

    @Test
    void waitsBeforeItsFirstLoadAtAnyEngine() {
      assertThat(reason(observed(true, SECOND), MODEL, SECOND), is(OrderReason.QUIET_TIME));
    }

    @Test
    void accumulatesNoLoadsInTheQuietTime() {
      assertThat(load(15), is(new OrderDecision.Refrain(OrderReason.LIST_EXPIRED)));
      controller.onList(view(7, 15 * SECOND, SELF), 15 * SECOND);
      assertThat(load(15), is(new OrderDecision.Refrain(OrderReason.WEIGHT_STORE_RATE)));
    }

    @Test
    void accumulatesNoLoadsWhileTheListIsExpired() {
      controller.onList(view(7, 15 * SECOND, SELF), 15 * SECOND);
      load(15);
      assertThat(load(24), instanceOf(OrderDecision.Send.class));
      controller.onList(view(7, 40 * SECOND, SELF), 40 * SECOND);
      assertThat(load(40), is(new OrderDecision.Refrain(OrderReason.WEIGHT_STORE_RATE)));
    }

    @Test
    void requiresTheStateToBeReadAgainAfterAnOrder() {
      controller.onOrderEnded(ENGINE, 2);
      assertThat(reason(observed(true, 1), PREFILL, 3), is(OrderReason.STATE_NOT_READ));
    }

    @Test
    void doesNotUseOutdatedStates() {
      assertThat(reason(observed(true, 0), PREFILL, 2 * SECOND), is(OrderReason.STATE_NOT_READ));
    }

    @Test
    void sendsNothingOnceTheListHasExpired() {
      assertThat(
          reason(observed(true, 11 * SECOND), PREFILL, 11 * SECOND), is(OrderReason.LIST_EXPIRED));
    }

    @Test
    void sendsNothingOnceAnotherInstanceKnowsLaterLists() {
      controller.onLaterVersion(8);
      assertThat(reason(observed(true, 0), PREFILL, 0), is(OrderReason.LATER_LIST_KNOWN));
    }

    @Test
    void yieldsToLaterAuthors() {
      var later = new ObservedEngineState(Set.of(), Set.of(), "", "", new Fence(8, 0), true, 0);
      assertThat(reason(later, PREFILL, 0), is(OrderReason.LATER_ORDER_TAKEN));
    }

    @Test
    void doesNotWriteOrdersFromBeforeLongPauses() {
      var send = (OrderDecision.Send) controller.decide(ENGINE, observed(true, 0), PREFILL, 0);
      assertThat(controller.mayWrite(send, SECOND), is(true));
      assertThat(controller.mayWrite(send, SECOND + 1), is(false));
    }

    @Test
    void doesNotWriteOrdersFromAnEarlierList() {
      var send = (OrderDecision.Send) controller.decide(ENGINE, observed(true, 0), PREFILL, 0);
      controller.onList(view(8, 1, SELF), 1);
      assertThat(controller.mayWrite(send, 1), is(false));
    }

    @Test
    void ignoresAnEarlierList() {
      controller.onList(view(6, 1, InstanceId.of("other")), 1);
      assertThat(
          controller.decide(ENGINE, observed(true, 1), PREFILL, 1),
          instanceOf(OrderDecision.Send.class));
    }

    @Test
    void startsOneLoadAtOnceWithinItsShareOfTheRate() {
      controller.onList(view(7, 15 * SECOND, SELF), 15 * SECOND);
      controller.decide(ENGINE, observed(true, 15 * SECOND), MODEL, 15 * SECOND);
      assertThat(load(20), instanceOf(OrderDecision.Send.class));
      assertThat(load(20), is(new OrderDecision.Refrain(OrderReason.WEIGHT_STORE_RATE)));
      assertThat(load(23), is(new OrderDecision.Refrain(OrderReason.WEIGHT_STORE_RATE)));
      assertThat(load(24), instanceOf(OrderDecision.Send.class));
    }

    private OrderDecision load(int second) {
      return controller.decide(ENGINE, observed(true, second * SECOND), MODEL, second * SECOND);
    }

    @Test
    void sendsNothingToAnEngineInItsDesiredState() {
      var inDesiredState =
          new ObservedEngineState(Set.of(), Set.of(), "", "prefill", new Fence(7, 0), true, 0);
      assertThat(reason(inDesiredState, PREFILL, 0), is(OrderReason.AT_TARGET));
    }

    @Test
    void raisesTheFenceOfAnEngineInItsDesiredState() {
      var inDesiredState =
          new ObservedEngineState(Set.of(), Set.of(), "", "prefill", new Fence(6, 0), true, 0);
      assertThat(
          controller.decide(ENGINE, inDesiredState, PREFILL, 0),
          instanceOf(OrderDecision.Send.class));
    }
  }

  @Nested
  class WhenTheListArrivedLate {

    @Test
    void countsTheQuietTimeFromTheReceiptOfTheList() {
      controller.onList(view(7, 0, SELF), 5 * SECOND);
      controller.onList(view(7, 14 * SECOND, SELF), 14 * SECOND);
      assertThat(
          reason(observed(false, 19 * SECOND), PREFILL, 19 * SECOND), is(OrderReason.QUIET_TIME));
    }

    @Test
    void countsTheValidityOfTheListFromTheRequestForIt() {
      controller.onList(view(7, 0, SELF), 9 * SECOND);
      assertThat(
          reason(observed(true, 11 * SECOND), PREFILL, 11 * SECOND), is(OrderReason.LIST_EXPIRED));
    }
  }

  @Test
  void allowsForClocksOfDifferentRates() {
    double nanosOnSlowClock = (TIMES.listLifeNanos() + TIMES.orderLifeNanos()) / 0.95;
    assertThat(nanosOnSlowClock, is(lessThan(TIMES.quietNanos() / 1.05)));
  }

  @Nested
  class WhenListsFollowEachOther {

    @Test
    void keepsItsTermFromOneVersionToTheNext() {
      controller.onList(view(7, 0, SELF), 0);
      controller.onList(view(8, 16 * SECOND, SELF), 16 * SECOND);
      assertThat(
          controller.decide(ENGINE, observed(false, 16 * SECOND), PREFILL, 16 * SECOND),
          instanceOf(OrderDecision.Send.class));
    }

    @Test
    void startsNewTermsAfterMissedVersions() {
      controller.onList(view(7, 0, SELF), 0);
      controller.onList(view(9, 16 * SECOND, SELF), 16 * SECOND);
      assertThat(
          reason(observed(false, 16 * SECOND), PREFILL, 16 * SECOND), is(OrderReason.QUIET_TIME));
    }
  }

  @Nested
  class WhenTheListNamesAnAuthor {

    private final List<InstanceId> instances =
        IntStream.range(0, 8).mapToObj(i -> InstanceId.of("instance-" + i)).toList();

    @Test
    void namesTheSameOneWhateverTheOrder() {
      var reversed = instances.stream().sorted((a, b) -> b.compareTo(a)).toList();
      assertThat(author(instances, 3), is(author(reversed, 3)));
    }

    @Test
    void movesOnlyTheEnginesOfInstancesThatLeave() {
      var fewer = instances.subList(0, 7);
      for (int engine = 0; engine < 100; engine++) {
        if (!author(instances, engine).equals(instances.get(7))) {
          assertThat(author(fewer, engine), is(author(instances, engine)));
        }
      }
    }

    @Test
    void spreadsTheEngines() {
      for (var instance : instances) {
        long ownedEngines =
            IntStream.range(0, 800).filter(e -> author(instances, e).equals(instance)).count();
        assertThat(ownedEngines, is(lessThan(150L)));
      }
    }

    private InstanceId author(List<InstanceId> list, int engine) {
      return new AuthorView(1, list, List.of(), 0, 0)
          .author(EngineId.of("engine-" + engine))
          .orElseThrow();
    }
  }

  @Test
  void sendsNothingBeforeTheFirstList() {
    assertThat(reason(observed(true, 0), PREFILL, 0), is(OrderReason.NOT_AUTHOR));
  }

  private OrderReason reason(
      ObservedEngineState observed, DesiredEngineState target, long nowNanos) {
    return ((OrderDecision.Refrain) controller.decide(ENGINE, observed, target, nowNanos)).reason();
  }

  private static AuthorView view(long version, long readNanos, InstanceId instance) {
    return new AuthorView(version, List.of(instance), List.of(ENGINE), 4, readNanos);
  }

  private static ObservedEngineState observed(boolean checksFence, long readNanos) {
    return new ObservedEngineState(Set.of(), Set.of(), "", "", Fence.NONE, checksFence, readNanos);
  }
}
