package org.gentianslip.core.ticket;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.HashMap;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Label;
import org.gentianslip.core.testing.SeededProperty;
import org.gentianslip.core.testing.Seeds;

@Label(
    "Calls that are repeated through instances that pause, are replaced and have different views")
class AtMostOncePropertyTest {

  private static final int STEPS = 1500;

  private static CallSimulation simulate(long seed) {
    CallSimulation simulation = new CallSimulation(seed, 3);
    for (int i = 0; i < STEPS; i++) {
      simulation.step();
    }
    return simulation;
  }

  @SeededProperty
  void callRunsAtMostOnce(@ForAll(supplier = Seeds.class) long seed) {
    Map<Integer, Integer> runs = new HashMap<>();
    for (CallSimulation.Copy copy : simulate(seed).executions) {
      assertThat(runs.merge(copy.call(), 1, Integer::sum), lessThanOrEqualTo(1));
    }
  }

  @SeededProperty
  void callReportedAsNotRunNeverRunsWithThatTicket(@ForAll(supplier = Seeds.class) long seed) {
    CallSimulation simulation = simulate(seed);
    for (CallSimulation.Copy copy : simulation.executions) {
      assertThat(simulation.reportedNotRun, not(hasItem(copy.ticket())));
    }
  }

  @SeededProperty
  void someCallsRunAndSomeAreReportedAsNotRun(@ForAll(supplier = Seeds.class) long seed) {
    CallSimulation simulation = simulate(seed);
    assertThat(simulation.executions.isEmpty(), is(false));
    assertThat(simulation.reportedNotRun.isEmpty(), is(false));
  }
}
