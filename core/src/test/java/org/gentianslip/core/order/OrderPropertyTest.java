package org.gentianslip.core.order;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Label;
import org.gentianslip.core.testing.SeededProperty;
import org.gentianslip.core.testing.Seeds;

@Label("Orders of instances that pause, restart, are cut off and know different lists")
class OrderPropertyTest {

  private static final int STEPS = 40_000;
  private static final double AMPLE_LOADS_PER_SECOND = 2;
  private static final double FEW_LOADS_PER_SECOND = 0.1;
  private static final double FASTEST_CLOCK = 1.06;

  private static OrderSimulation play(long seed, boolean checksFence, boolean arrivesLate) {
    return play(new OrderSimulation(seed, AMPLE_LOADS_PER_SECOND, checksFence, arrivesLate));
  }

  private static OrderSimulation play(OrderSimulation world) {
    for (int i = 0; i < STEPS; i++) {
      world.step();
    }
    return world;
  }

  @SeededProperty
  void engineThatIgnoresFencesTakesNoOrderOfAnEarlierAuthorAfterOneOfLater(
      @ForAll(supplier = Seeds.class) long seed) {
    assertVersionsNeverFall(play(seed, false, false));
  }

  @SeededProperty
  void engineThatChecksFencesTakesNoLateOrderOfEarlierAuthors(
      @ForAll(supplier = Seeds.class) long seed) {
    assertVersionsNeverFall(play(seed, true, true));
  }

  @SeededProperty
  void enginesThatIgnoreFencesReachTheirTargetThoughOrdersArriveLate(
      @ForAll(supplier = Seeds.class) long seed) {
    var world = play(seed, false, true);
    world.settle();
    assertThat(world.offTarget(), is(empty()));
  }

  @SeededProperty
  void enginesThatCheckFencesReachTheirTargetThoughOrdersArriveLate(
      @ForAll(supplier = Seeds.class) long seed) {
    var world = play(seed, true, true);
    world.settle();
    assertThat(world.offTarget(), is(empty()));
  }

  @SeededProperty
  void loadsKeepWithinTheRateOfTheWeightStore(@ForAll(supplier = Seeds.class) long seed) {
    List<Long> loads = play(new OrderSimulation(seed, FEW_LOADS_PER_SECOND, true, false)).loadNanos;
    for (int i = 0; i < loads.size(); i++) {
      for (int j = i; j < loads.size(); j++) {
        double seconds = (loads.get(j) - loads.get(i)) / 1e9;
        double allowed = seconds * FEW_LOADS_PER_SECOND * FASTEST_CLOCK + OrderSimulation.INSTANCES;
        assertThat(j - i + 1.0, is(lessThanOrEqualTo(allowed)));
      }
    }
  }

  @SeededProperty
  void enginesTakeOrdersOfSeveralAuthors(@ForAll(supplier = Seeds.class) long seed) {
    int changes = 0;
    for (int world = 0; world < 6; world++) {
      changes += authorChanges(play(seed + world, false, false));
    }
    assertThat(changes, is(greaterThan(2)));
  }

  private static int authorChanges(OrderSimulation world) {
    int changes = 0;
    for (int engine = 0; engine < world.engineCount(); engine++) {
      var taken = world.taken(engine);
      for (int i = 1; i < taken.size(); i++) {
        changes += taken.get(i).instance() == taken.get(i - 1).instance() ? 0 : 1;
      }
    }
    return changes;
  }

  private static void assertVersionsNeverFall(OrderSimulation world) {
    for (int engine = 0; engine < world.engineCount(); engine++) {
      long latest = 0;
      for (var taken : world.taken(engine)) {
        long version = taken.order().fence().listVersion();
        assertThat(taken.toString(), version, is(greaterThanOrEqualTo(latest)));
        latest = version;
      }
    }
  }
}
