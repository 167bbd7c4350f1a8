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

@Label("Beliefs of instances that are killed, replaced, stopped and cut off")
class MembershipPropertyTest {

  private static final int DISTURBED_TICKS = 60;

  /** The number of ticks after which all agree: the silence timeout and two rounds of contacts. */
  private static final int SETTLING_TICKS = 8;

  private static MembershipSimulation disturbed(long seed) {
    MembershipSimulation world = new MembershipSimulation(seed, 3, 3);
    for (int i = 0; i < DISTURBED_TICKS; i++) {
      world.disturb();
      world.tick();
    }
    return world;
  }

  @SeededProperty
  void allInRegionAgreeOnWhoServesSoonAfterTheLastFailure(
      @ForAll(supplier = Seeds.class) long seed) {
    MembershipSimulation world = disturbed(seed);
    world.heal();
    world.ticks(SETTLING_TICKS);
    for (MembershipSimulation.Node n : world.nodes) {
      for (MembershipSimulation.Node other : world.sameRegion(n)) {
        if (n.alive) {
          boolean serves = other.alive && !other.leaving;
          assertThat(n.stateOf(other) == InstanceState.LIVE, is(serves));
        }
      }
    }
  }

  @SeededProperty
  void lifeThatLeavesIsNeverBelievedToServeAgain(@ForAll(supplier = Seeds.class) long seed) {
    MembershipSimulation world = new MembershipSimulation(seed, 2, 3);
    Set<String> left = new HashSet<>();
    for (int i = 0; i < DISTURBED_TICKS; i++) {
      world.disturb();
      world.tick();
      for (MembershipSimulation.Node n : world.nodes) {
        for (Member m : n.table.members()) {
          checkLeaving(n.incarnation, m, left, n.table.stateOf(n.now(), m.info().id()));
        }
      }
    }
  }

  private static void checkLeaving(
      Incarnation holder, Member m, Set<String> left, InstanceState state) {
    if (m.life().isEmpty()) {
      return;
    }
    String belief = holder + " of " + m.life().get().incarnation();
    if (left.contains(belief)) {
      assertThat(state, is(not(InstanceState.LIVE)));
    } else if (m.life().get().leaving()) {
      left.add(belief);
    }
  }

  @SeededProperty
  void cutBetweenRegionsSilencesNobodyInside(@ForAll(supplier = Seeds.class) long seed) {
    MembershipSimulation world = new MembershipSimulation(seed, 3, 3);
    world.ticks(3);
    world.regionsCut = true;
    for (int i = 0; i < DISTURBED_TICKS; i++) {
      world.tick();
      for (MembershipSimulation.Node n : world.nodes) {
        for (MembershipSimulation.Node other : world.sameRegion(n)) {
          assertThat(n.stateOf(other), is(InstanceState.LIVE));
        }
      }
    }
  }

  @SeededProperty
  void cutBetweenTwoSilencesNeitherForThoseWhoReachBoth(@ForAll(supplier = Seeds.class) long seed) {
    MembershipSimulation world = new MembershipSimulation(seed, 1, 5);
    MembershipSimulation.Node a = world.nodes.get(0);
    MembershipSimulation.Node b = world.nodes.get(1);
    world.ticks(3);
    world.cutPairs.add(Set.of(a, b));
    for (int i = 0; i < DISTURBED_TICKS; i++) {
      world.tick();
      for (MembershipSimulation.Node c : world.nodes.subList(2, 5)) {
        assertThat(c.stateOf(a), is(InstanceState.LIVE));
        assertThat(c.stateOf(b), is(InstanceState.LIVE));
      }
      assertThat(a.table.isReachable(a.now(), b.info.id()), is(false));
    }
  }

  @SeededProperty
  void instanceThatWokeTrustsNobodyBeforeAnAnswer(@ForAll(supplier = Seeds.class) long seed) {
    MembershipSimulation world = new MembershipSimulation(seed, 2, 3);
    MembershipSimulation.Node woken = world.nodes.get(0);
    world.ticks(3);
    woken.stopped = true;
    world.ticks(4);
    for (MembershipSimulation.Node other : world.nodes) {
      other.alive = other == woken;
    }
    woken.stopped = false;
    world.tick();
    for (MembershipSimulation.Node other : world.sameRegion(woken)) {
      assertThat(woken.stateOf(other), is(InstanceState.SILENT));
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 17, 39})
  void allInLargeRegionLearnOfDeathWithinTwoTurns(int victim) {
    MembershipSimulation world = new MembershipSimulation(victim, 1, 40);
    world.ticks(12);
    MembershipSimulation.Node dead = world.nodes.get(victim);
    dead.alive = false;
    world.ticks(20);
    for (MembershipSimulation.Node n : world.sameRegion(dead)) {
      assertThat(n.stateOf(dead), is(not(InstanceState.LIVE)));
    }
  }
}
