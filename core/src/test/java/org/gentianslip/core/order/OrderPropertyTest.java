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

@Label("Orders of instances that pause, restart, are partitioned and know different lists")
class OrderPropertyTest {

  private static final int STEPS = 40_000;
  private static final double AMPLE_LOADS_PER_SECOND = 2;
  private static final double FEW_LOADS_PER_SECOND = 0.1;
  private static final double FASTEST_CLOCK_RATE = 1.06;

  private static OrderSimulation simulate(long seed, boolean checksFence, boolean delaysOrders) {
    return simulate(new OrderSimulation(seed, AMPLE_LOADS_PER_SECOND, checksFence, delaysOrders));
  }

  private static OrderSimulation simulate(OrderSimulation simulation) {
    for (int i = 0; i < STEPS; i++) {
      simulation.step();
    }
    return simulation;
  }

  @SeededProperty
  void engineThatIgnoresFencesAcceptsNoOrderOfAnEarlierAuthorAfterLaterOnes(
      @ForAll(supplier = Seeds.class) long seed) {
    assertVersionsNeverDecrease(simulate(seed, false, false));
  }

  @SeededProperty
  void engineThatChecksFencesAcceptsNoLateOrderOfEarlierAuthors(
      @ForAll(supplier = Seeds.class) long seed) {
    assertVersionsNeverDecrease(simulate(seed, true, true));
  }

  @SeededProperty
  void enginesThatIgnoreFencesReachTheirDesiredStateDespiteLateOrders(
      @ForAll(supplier = Seeds.class) long seed) {
    var simulation = simulate(seed, false, true);
    simulation.recoverAndSettle();
    assertThat(simulation.notInDesiredState(), is(empty()));
  }

  @SeededProperty
  void enginesThatCheckFencesReachTheirDesiredStateDespiteLateOrders(
      @ForAll(supplier = Seeds.class) long seed) {
    var simulation = simulate(seed, true, true);
    simulation.recoverAndSettle();
    assertThat(simulation.notInDesiredState(), is(empty()));
  }

  @SeededProperty
  void loadsStayWithinTheRateOfTheWeightStore(@ForAll(supplier = Seeds.class) long seed) {
    List<Long> loads =
        simulate(new OrderSimulation(seed, FEW_LOADS_PER_SECOND, true, false)).loadNanos;
    for (int i = 0; i < loads.size(); i++) {
      for (int j = i; j < loads.size(); j++) {
        double seconds = (loads.get(j) - loads.get(i)) / 1e9;
        double allowed =
            seconds * FEW_LOADS_PER_SECOND * FASTEST_CLOCK_RATE + OrderSimulation.INSTANCES;
        assertThat(j - i + 1.0, is(lessThanOrEqualTo(allowed)));
      }
    }
  }

  @SeededProperty
  void enginesAcceptOrdersOfSeveralAuthors(@ForAll(supplier = Seeds.class) long seed) {
    int changes = 0;
    for (int run = 0; run < 6; run++) {
      changes += authorChanges(simulate(seed + run, false, false));
    }
    assertThat(changes, is(greaterThan(2)));
  }

  private static int authorChanges(OrderSimulation simulation) {
    int changes = 0;
    for (int engine = 0; engine < simulation.engineCount(); engine++) {
      var accepted = simulation.acceptedOrders(engine);
      for (int i = 1; i < accepted.size(); i++) {
        changes += accepted.get(i).instance() == accepted.get(i - 1).instance() ? 0 : 1;
      }
    }
    return changes;
  }

  private static void assertVersionsNeverDecrease(OrderSimulation simulation) {
    for (int engine = 0; engine < simulation.engineCount(); engine++) {
      long latest = 0;
      for (var accepted : simulation.acceptedOrders(engine)) {
        long version = accepted.order().fence().listVersion();
        assertThat(accepted.toString(), version, is(greaterThanOrEqualTo(latest)));
        latest = version;
      }
    }
  }
}
