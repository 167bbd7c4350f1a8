package org.gentianslip.core.revision;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Label;
import org.gentianslip.core.testing.SeededProperty;
import org.gentianslip.core.testing.Seeds;

@Label("Settings with a failing service, partitions, replaced instances and concurrent operators")
class SettingsNeverRevertPropertyTest {

  private static final int STEPS = 600;
  private static final int ROUNDS_TO_CONVERGE = 2;

  private final int size = 6;

  @SeededProperty
  void noIncarnationPutsAnEarlierStateInForce(@ForAll(supplier = Seeds.class) long seed) {
    RevisionSimulation simulation = new RevisionSimulation(seed, size);
    for (int i = 0; i < STEPS; i++) {
      simulation.step();
      simulation.nodes.forEach(n -> assertThat(n.reverted, is(false)));
    }
  }

  @SeededProperty
  void noInvalidStateIsInForce(@ForAll(supplier = Seeds.class) long seed) {
    RevisionSimulation simulation = new RevisionSimulation(seed, size);
    for (int i = 0; i < STEPS; i++) {
      simulation.step();
      simulation.nodes.forEach(n -> assertThat(RevisionSimulation.isValid(n.accepted()), is(true)));
    }
  }

  @SeededProperty
  void newInstanceServesOnlyWithTheLatestStateThatItCanReach(
      @ForAll(supplier = Seeds.class) long seed) {
    RevisionSimulation simulation = new RevisionSimulation(seed, size);
    int becameReady = 0;
    for (int i = 0; i < STEPS; i++) {
      simulation.step();
      for (RevisionSimulation.Node n : simulation.nodes) {
        if (simulation.becomesReady(n)) {
          becameReady++;
          assertThat(n.accepted(), greaterThanOrEqualTo(simulation.latestReachable(n)));
        }
      }
    }
    assertThat(becameReady, greaterThanOrEqualTo(1));
  }

  @SeededProperty
  void allInstancesAgreeOnTheLatestStateSoonAfterTheFaultsEnd(
      @ForAll(supplier = Seeds.class) long seed) {
    RevisionSimulation simulation = new RevisionSimulation(seed, size);
    for (int i = 0; i < STEPS; i++) {
      simulation.step();
    }
    ManifestRef latest = simulation.latestKnown();
    for (int i = 0; i < ROUNDS_TO_CONVERGE; i++) {
      simulation.roundWithoutFaults();
    }
    List<ManifestRef> accepted =
        simulation.nodes.stream().map(RevisionSimulation.Node::accepted).toList();
    assertThat(accepted, everyItem(is(accepted.get(0))));
    assertThat(accepted.get(0), greaterThanOrEqualTo(latest));
  }
}
