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

@Label("Calls repeated through instances that pause, are replaced and disagree")
class AtMostOncePropertyTest {

  private static final int STEPS = 1500;

  private static CallSimulation play(long seed) {
    CallSimulation world = new CallSimulation(seed, 3);
    for (int i = 0; i < STEPS; i++) {
      world.step();
    }
    return world;
  }

  @SeededProperty
  void callRunsAtMostOnce(@ForAll(supplier = Seeds.class) long seed) {
    Map<Integer, Integer> runs = new HashMap<>();
    for (CallSimulation.Copy copy : play(seed).executions) {
      assertThat(runs.merge(copy.call(), 1, Integer::sum), lessThanOrEqualTo(1));
    }
  }

  @SeededProperty
  void callToldNotToHaveRunNeverRunsUnderThatTicket(@ForAll(supplier = Seeds.class) long seed) {
    CallSimulation world = play(seed);
    for (CallSimulation.Copy copy : world.executions) {
      assertThat(world.toldNotRun, not(hasItem(copy.ticket())));
    }
  }

  @SeededProperty
  void someCallsRunAndSomeAreToldNotToHaveRun(@ForAll(supplier = Seeds.class) long seed) {
    CallSimulation world = play(seed);
    assertThat(world.executions.isEmpty(), is(false));
    assertThat(world.toldNotRun.isEmpty(), is(false));
  }
}
