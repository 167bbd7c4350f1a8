package org.gentianslip.core.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.Rank;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.routing.QueueView.Backlog;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ExpectedCostPolicyTest {

  private static final int SLOTS = 16;
  private static final int LIMIT = 8;
  private static final long SECOND = 1_000_000_000L;
  private static final RegionId SOUTH = RegionId.of("south");
  private static final RoutingDecision AWAY =
      new RoutingDecision.ToRegion(SOUTH, RoutingReason.SPILL);

  private final ExpectedCostPolicy policy = ExpectedCostPolicy.of(1, r -> PolicyTuning.DEFAULT);

  private static EngineView engine(int inFlight, int running) {
    return new EngineView(
        EngineId.of("engine"),
        Set.of(Requests.MODEL),
        SLOTS,
        inFlight,
        running,
        0,
        0,
        true,
        LIMIT,
        0);
  }

  private static RegionSummary south(int quota, long linkFreeBytes) {
    return new RegionSummary(SOUTH, quota, 0, SECOND / 10, true, quota, linkFreeBytes);
  }

  private RoutingDecision decide(
      Rank rank, EngineView engine, RegionSummary south, int urgent, int other, long drainNanos) {
    return decide(rank, List.of(engine), south, urgent, other, drainNanos, 0, 0);
  }

  private RoutingDecision decide(
      Rank rank,
      List<EngineView> engines,
      RegionSummary south,
      int urgent,
      int other,
      long drainNanos,
      int customerInFlight,
      int otherInFlight) {
    var queue =
        new QueueView(
            new Backlog(urgent, drainNanos),
            new Backlog(other, drainNanos),
            customerInFlight,
            otherInFlight,
            2);
    var view = new RoutingView(Requests.HOME, new ArrayList<>(engines), List.of(south), queue);
    return policy.decide(0, Requests.of("r", "shop", rank, Long.MAX_VALUE), view);
  }

  @Nested
  class Reserve {

    private final RegionSummary none = south(0, 0);

    @Test
    void isLeftByTheOtherRank() {
      var decision = decide(Rank.OTHER, engine(6, 6), none, 0, 1, 0);
      assertThat(decision, instanceOf(RoutingDecision.Wait.class));
    }

    @Test
    void isOpenToTheUrgentRank() {
      var decision = decide(Rank.URGENT, engine(6, 6), none, 1, 0, 0);
      assertThat(decision, instanceOf(RoutingDecision.ToEngine.class));
    }

    @Test
    void isOpenToTheOtherRankWhenItsFloorIsDue() {
      var decision = decide(Rank.OTHER, engine(6, 6), none, 5, 1, 0);
      assertThat(decision, instanceOf(RoutingDecision.ToEngine.class));
    }

    @Test
    void growsWithTheDemandOfTheUrgentRank() {
      var decision = decide(Rank.OTHER, List.of(engine(4, 4)), none, 0, 1, 0, 0, 4);
      assertThat(decision, instanceOf(RoutingDecision.Wait.class));
    }

    @Test
    void isLeftByAnUrgentCustomerOverItsShare() {
      var decision = decide(Rank.URGENT, List.of(engine(7, 7)), none, 5, 0, 0, LIMIT / 2, 0);
      assertThat(decision, instanceOf(RoutingDecision.Wait.class));
    }
  }

  @Nested
  class Borrowing {

    @Test
    void takesReportedFreeSlotsForSingleUrgentRequests() {
      var decision = decide(Rank.URGENT, engine(LIMIT, 10), south(0, 0), 1, 0, 0);
      assertThat(decision, instanceOf(RoutingDecision.ToEngine.class));
    }

    @Test
    void endsWhenManyUrgentRequestsWait() {
      var decision = decide(Rank.URGENT, engine(LIMIT, 10), south(0, 0), 9, 0, 0);
      assertThat(decision, instanceOf(RoutingDecision.Wait.class));
    }
  }

  @Nested
  class Spill {

    private final EngineView full = engine(LIMIT, SLOTS);
    private final RegionSummary spare = south(3, Long.MAX_VALUE);

    @Test
    void happensWhenTheBacklogOutlastsTheWay() {
      assertThat(decide(Rank.URGENT, full, spare, 9, 0, SECOND), is(AWAY));
    }

    @Test
    void neverHappensForShortWaits() {
      var decision = decide(Rank.URGENT, full, spare, 9, 0, SECOND / 10);
      assertThat(decision, instanceOf(RoutingDecision.Wait.class));
    }

    @Test
    void neverHappensWhileTheRegionHasFreeSlots() {
      var decision = decide(Rank.URGENT, engine(LIMIT, 10), spare, 9, 0, SECOND);
      assertThat(decision, instanceOf(RoutingDecision.Wait.class));
    }

    @Test
    void needsSpareCapacity() {
      var decision = decide(Rank.URGENT, full, south(0, Long.MAX_VALUE), 9, 0, SECOND);
      assertThat(decision, instanceOf(RoutingDecision.Wait.class));
    }

    @Test
    void needsBytesInTheBudgetOfTheLink() {
      var decision = decide(Rank.URGENT, full, south(3, 100), 9, 0, SECOND);
      assertThat(decision, instanceOf(RoutingDecision.Wait.class));
    }

    @Test
    void waitsLongerForTheOtherRank() {
      var decision = decide(Rank.OTHER, full, spare, 0, 9, SECOND);
      assertThat(decision, instanceOf(RoutingDecision.Wait.class));
    }
  }
}
