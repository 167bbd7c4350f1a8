package org.gentianslip.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import org.gentianslip.core.fleet.FleetSimulation.Node;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@DisplayName("The exchange between instances")
class FleetExchangeTest {

  /** The time within which callers must no longer be sent to an instance that has stopped. */
  private static final long FORGET_MILLIS = 9_000;

  private static final long SEED = 20261204;

  private static FleetSimulation started(long seed, int perDataCentre) {
    var fleet = new FleetSimulation(seed, 3, 2, perDataCentre);
    fleet.startAll();
    fleet.runMillis(8_000);
    return fleet;
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 4, 16, 50})
  void makesAllInstancesKnowEachOther(int perDataCentre) {
    assertThat(started(SEED, perDataCentre).agreement(), is(1.0));
  }

  @Nested
  @DisplayName("in a fleet without events")
  class WithoutEvents {

    @Test
    void statesNothingAboutInstances() {
      FleetSimulation fleet = started(SEED, 16);
      fleet.takeStatements();
      fleet.runMillis(10_000);
      long summaries = 10L * 6 * fleet.nodes.size();
      assertThat(fleet.takeStatements(), is(lessThanOrEqualTo(2 * summaries)));
    }

    @Test
    void needsMessagesThatGrowNoFasterThanTheDataCentre() {
      long few = mostMessagesPerSecond(8);
      long many = mostMessagesPerSecond(40);
      assertThat(many, is(lessThan(5 * few)));
      assertThat(many, is(lessThan(120L)));
    }

    private long mostMessagesPerSecond(int perDataCentre) {
      FleetSimulation fleet = started(SEED, perDataCentre);
      fleet.takeMostMessages();
      fleet.runMillis(10_000);
      return fleet.takeMostMessages() / 10;
    }
  }

  @Nested
  @DisplayName("when the capacity of an instance falls")
  class WhenCapacityFalls {

    private static final int PER_DATA_CENTRE = 14;

    /** The time in which a member has reported a change, with the delay of the network. */
    private static final long REPORT_MILLIS = ContactPlanner.ROUND_MILLIS + 10;

    /** The time between two reports of a member that has no requests. */
    private static final long IDLE_REPORT_MILLIS = 4 * ContactPlanner.ROUND_MILLIS + 10;

    private final FleetSimulation fleet = started(SEED, PER_DATA_CENTRE);

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 5, 13})
    void tellsItsDataCentreWithinOnePeriodOfIdleMembersAndAllSoon(int index) {
      Node node = fleet.nodes.get(index);
      node.capacity = 4;
      fleet.runMillis(REPORT_MILLIS + IDLE_REPORT_MILLIS);
      long near = fleet.knowing(node, n -> n.dataCentre.equals(node.dataCentre));
      assertThat(near, is(PER_DATA_CENTRE - 1L));
      fleet.runMillis(4_000);
      assertThat(fleet.knowing(node, n -> true), is(fleet.nodes.size() - 1L));
    }

    @Test
    void keepsTheRelays() {
      List<Node> relays = fleet.nodes.stream().filter(n -> n.planner.isRelay()).toList();
      relays.forEach(n -> n.capacity = 1);
      fleet.runMillis(5_000);
      assertThat(fleet.nodes.stream().filter(n -> n.planner.isRelay()).toList(), is(relays));
    }
  }

  @Nested
  @DisplayName("when instances stop")
  class WhenInstancesStop {

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void forgetsThemInTime(long seed) {
      FleetSimulation fleet = started(seed, 16);
      for (int i = 0; i < fleet.nodes.size(); i += 7) {
        fleet.nodes.get(i).kill();
      }
      fleet.runMillis(FORGET_MILLIS);
      assertThat(fleet.agreement(), is(1.0));
    }

    @Test
    void isForgottenByMembersAndRelaysAfterOneMinute() {
      FleetSimulation fleet = started(SEED, 16);
      Node stopped = fleet.nodes.get(3);
      stopped.kill();
      fleet.runMillis(70_000);
      long remembering =
          fleet.nodes.stream()
              .filter(n -> n.running && n.region.equals(stopped.region))
              .filter(n -> n.view.peers().knownInRegion().contains(stopped.id))
              .count();
      assertThat(remembering, is(0L));
    }

    @Test
    void replacesRelayOfDataCentre() {
      FleetSimulation fleet = started(SEED, 16);
      fleet.nodes.stream().filter(n -> n.planner.isRelay()).forEach(Node::kill);
      fleet.runMillis(FORGET_MILLIS);
      assertThat(fleet.agreement(), is(1.0));
    }

    @Test
    void forgetsWholeDataCentre() {
      FleetSimulation fleet = started(SEED, 16);
      fleet.nodes.subList(0, 16).forEach(Node::kill);
      fleet.runMillis(FORGET_MILLIS);
      assertThat(fleet.agreement(), is(1.0));
    }

    @Test
    void findsAllAgainAfterRestartOfAll() {
      FleetSimulation fleet = started(SEED, 50);
      fleet.nodes.forEach(Node::kill);
      fleet.runMillis(2_000);
      fleet.startAll();
      fleet.runMillis(5_000);
      assertThat(fleet.agreement(), is(1.0));
    }

    @Test
    void tellsOfLeavingInstanceWithinTwoSeconds() {
      FleetSimulation fleet = started(SEED, 16);
      Node leaving = fleet.nodes.get(20);
      leaving.leaving = true;
      fleet.runMillis(2_000);
      long unaware =
          fleet.nodes.stream()
              .filter(n -> n != leaving)
              .filter(
                  n ->
                      n.view.snapshot(fleet.nowNanos).serving(leaving.region).stream()
                          .anyMatch(p -> p.id().equals(leaving.id)))
              .count();
      assertThat(unaware, is(0L));
    }
  }

  @Nested
  @DisplayName("under faults of the network")
  class UnderFaults {

    @Test
    void countsNoRunningInstanceAsSilentWhileMessagesAreLost() {
      FleetSimulation fleet = started(SEED, 16);
      fleet.lossShare = 0.05;
      double worst = 1;
      for (int i = 0; i < 100; i++) {
        fleet.runMillis(200);
        worst = Math.min(worst, fleet.agreement());
      }
      assertThat(worst, is(greaterThan(0.98)));
    }

    @Test
    void doesNotLetAnInstanceThatWasCutOffSilenceTheOthers() {
      FleetSimulation fleet = started(SEED, 16);
      Node cut = fleet.nodes.get(5);
      fleet.reaches = (from, to) -> from != cut && to != cut;
      fleet.runMillis(8_000);
      fleet.reaches = (from, to) -> true;
      double worst = 1;
      for (int i = 0; i < 40; i++) {
        fleet.runMillis(100);
        worst = Math.min(worst, agreementWithout(fleet, cut));
      }
      assertThat(worst, is(greaterThan(0.95)));
      fleet.runMillis(2_000);
      assertThat(fleet.agreement(), is(1.0));
    }

    private double agreementWithout(FleetSimulation fleet, Node without) {
      List<Node> others = fleet.nodes.stream().filter(n -> n != without).toList();
      long known = 0;
      for (Node n : others) {
        var live = n.view.live(fleet.nowNanos).stream().map(PeerRecord::id).toList();
        known += others.stream().filter(o -> o != n && live.contains(o.id)).count();
      }
      return (double) known / (others.size() * (others.size() - 1));
    }

    @Test
    void separatesAndRejoinsTwoSides() {
      FleetSimulation fleet = started(SEED, 16);
      Node first = fleet.nodes.get(0);
      fleet.reaches =
          (from, to) -> from.region.equals(first.region) == to.region.equals(first.region);
      fleet.runMillis(FORGET_MILLIS);
      assertThat(first.believesLive(fleet.nodes.get(1)), is(true));
      assertThat(first.believesLive(fleet.nodes.get(95)), is(false));
      fleet.reaches = (from, to) -> true;
      fleet.runMillis(6_000);
      assertThat(fleet.agreement(), is(1.0));
    }

    @Test
    void survivesCutsInOneDirection() {
      FleetSimulation fleet = started(SEED, 16);
      Node mute = fleet.nodes.get(7);
      fleet.reaches = (from, to) -> from != mute;
      fleet.runMillis(6_000);
      fleet.reaches = (from, to) -> true;
      fleet.runMillis(4_000);
      assertThat(fleet.agreement(), is(1.0));
    }

    @Test
    void takesBackInstancesThatWereFrozen() {
      FleetSimulation fleet = started(SEED, 16);
      fleet.nodes.subList(0, 20).forEach(n -> n.frozen = true);
      fleet.runMillis(FORGET_MILLIS);
      assertThat(fleet.agreement(), is(1.0));
      fleet.nodes.subList(0, 20).forEach(n -> n.frozen = false);
      fleet.runMillis(5_000);
      assertThat(fleet.agreement(), is(1.0));
    }
  }
}
