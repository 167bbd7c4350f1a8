package org.gentianslip.core.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.HashSet;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Label;
import org.gentianslip.core.id.Incarnation;
import org.gentianslip.core.testing.SeededProperty;
import org.gentianslip.core.testing.Seeds;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@Label("Beliefs of instances that are killed, replaced, paused and partitioned")
class MembershipPropertyTest {

  private static final int FAULTY_TICKS = 60;

  /** The number of ticks after which all agree: the silence timeout and two rounds of contacts. */
  private static final int SETTLING_TICKS = 8;

  private static MembershipSimulation simulationWithFaults(long seed) {
    MembershipSimulation simulation = new MembershipSimulation(seed, 3, 3);
    for (int i = 0; i < FAULTY_TICKS; i++) {
      simulation.injectFault();
      simulation.tick();
    }
    return simulation;
  }

  @SeededProperty
  void allInstancesOfTheRegionAgreeOnTheServingOnesSoonAfterTheLastFailure(
      @ForAll(supplier = Seeds.class) long seed) {
    MembershipSimulation simulation = simulationWithFaults(seed);
    simulation.endAllFaults();
    simulation.ticks(SETTLING_TICKS);
    for (MembershipSimulation.Node n : simulation.nodes) {
      for (MembershipSimulation.Node other : simulation.sameRegion(n)) {
        if (n.alive) {
          boolean serves = other.alive && !other.leaving;
          assertThat(n.stateOf(other) == InstanceState.LIVE, is(serves));
        }
      }
    }
  }

  @SeededProperty
  void leavingIncarnationIsNeverBelievedToServeAgain(@ForAll(supplier = Seeds.class) long seed) {
    MembershipSimulation simulation = new MembershipSimulation(seed, 2, 3);
    Set<String> left = new HashSet<>();
    for (int i = 0; i < FAULTY_TICKS; i++) {
      simulation.injectFault();
      simulation.tick();
      for (MembershipSimulation.Node n : simulation.nodes) {
        for (Member m : n.table.members()) {
          assertNotLiveAfterLeaving(
              n.incarnation, m, left, n.table.stateOf(n.now(), m.info().id()));
        }
      }
    }
  }

  private static void assertNotLiveAfterLeaving(
      Incarnation holder, Member m, Set<String> left, InstanceState state) {
    if (m.incarnationState().isEmpty()) {
      return;
    }
    String belief = holder + " of " + m.incarnationState().get().incarnation();
    if (left.contains(belief)) {
      assertThat(state, is(not(InstanceState.LIVE)));
    } else if (m.incarnationState().get().leaving()) {
      left.add(belief);
    }
  }

  @SeededProperty
  void partitionBetweenRegionsMakesNoInstanceSilentWithinItsRegion(
      @ForAll(supplier = Seeds.class) long seed) {
    MembershipSimulation simulation = new MembershipSimulation(seed, 3, 3);
    simulation.ticks(3);
    simulation.regionsPartitioned = true;
    for (int i = 0; i < FAULTY_TICKS; i++) {
      simulation.tick();
      for (MembershipSimulation.Node n : simulation.nodes) {
        for (MembershipSimulation.Node other : simulation.sameRegion(n)) {
          assertThat(n.stateOf(other), is(InstanceState.LIVE));
        }
      }
    }
  }

  @SeededProperty
  void partitionBetweenTwoInstancesMakesNeitherSilentForTheOthers(
      @ForAll(supplier = Seeds.class) long seed) {
    MembershipSimulation simulation = new MembershipSimulation(seed, 1, 5);
    MembershipSimulation.Node a = simulation.nodes.get(0);
    MembershipSimulation.Node b = simulation.nodes.get(1);
    simulation.ticks(3);
    simulation.partitionedPairs.add(Set.of(a, b));
    for (int i = 0; i < FAULTY_TICKS; i++) {
      simulation.tick();
      for (MembershipSimulation.Node c : simulation.nodes.subList(2, 5)) {
        assertThat(c.stateOf(a), is(InstanceState.LIVE));
        assertThat(c.stateOf(b), is(InstanceState.LIVE));
      }
      assertThat(a.table.isReachable(a.now(), b.info.id()), is(false));
    }
  }

  @SeededProperty
  void resumedInstanceCountsAllPeersAsSilentBeforeAnAnswer(
      @ForAll(supplier = Seeds.class) long seed) {
    MembershipSimulation simulation = new MembershipSimulation(seed, 2, 3);
    MembershipSimulation.Node resumed = simulation.nodes.get(0);
    simulation.ticks(3);
    resumed.paused = true;
    simulation.ticks(4);
    for (MembershipSimulation.Node other : simulation.nodes) {
      other.alive = other == resumed;
    }
    resumed.paused = false;
    simulation.tick();
    for (MembershipSimulation.Node other : simulation.sameRegion(resumed)) {
      assertThat(resumed.stateOf(other), is(InstanceState.SILENT));
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 17, 39})
  void allInstancesOfLargeRegionsDetectFailureWithinTwoRounds(int victim) {
    MembershipSimulation simulation = new MembershipSimulation(victim, 1, 40);
    simulation.ticks(12);
    MembershipSimulation.Node dead = simulation.nodes.get(victim);
    dead.alive = false;
    simulation.ticks(20);
    for (MembershipSimulation.Node n : simulation.sameRegion(dead)) {
      assertThat(n.stateOf(dead), is(not(InstanceState.LIVE)));
    }
  }
}
