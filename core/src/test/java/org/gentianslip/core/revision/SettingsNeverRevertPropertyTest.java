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

@Label("Settings under a failing service, cuts, replaced instances and racing operators")
class SettingsNeverRevertPropertyTest {

  private static final int STEPS = 600;
  private static final int ROUNDS_TO_CONVERGE = 2;

  private final int size = 6;

  @SeededProperty
  void noLifePutsAnEarlierStateInForce(@ForAll(supplier = Seeds.class) long seed) {
    RevisionSimulation world = new RevisionSimulation(seed, size);
    for (int i = 0; i < STEPS; i++) {
      world.step();
      world.nodes.forEach(n -> assertThat(n.reverted, is(false)));
    }
  }

  @SeededProperty
  void noInvalidStateIsInForce(@ForAll(supplier = Seeds.class) long seed) {
    RevisionSimulation world = new RevisionSimulation(seed, size);
    for (int i = 0; i < STEPS; i++) {
      world.step();
      world.nodes.forEach(n -> assertThat(RevisionSimulation.isValid(n.accepted()), is(true)));
    }
  }

  @SeededProperty
  void newInstanceServesOnlyWithTheLatestStateThatItCanReach(
      @ForAll(supplier = Seeds.class) long seed) {
    RevisionSimulation world = new RevisionSimulation(seed, size);
    int becameReady = 0;
    for (int i = 0; i < STEPS; i++) {
      world.step();
      for (RevisionSimulation.Node n : world.nodes) {
        if (world.askForReadiness(n)) {
          becameReady++;
          assertThat(n.accepted(), greaterThanOrEqualTo(world.latestReachable(n)));
        }
      }
    }
    assertThat(becameReady, greaterThanOrEqualTo(1));
  }

  @SeededProperty
  void allAgreeOnTheLatestStateSoonAfterTheyMeet(@ForAll(supplier = Seeds.class) long seed) {
    RevisionSimulation world = new RevisionSimulation(seed, size);
    for (int i = 0; i < STEPS; i++) {
      world.step();
    }
    ManifestRef latest = world.latestKnown();
    for (int i = 0; i < ROUNDS_TO_CONVERGE; i++) {
      world.healedRound();
    }
    List<ManifestRef> accepted =
        world.nodes.stream().map(RevisionSimulation.Node::accepted).toList();
    assertThat(accepted, everyItem(is(accepted.get(0))));
    assertThat(accepted.get(0), greaterThanOrEqualTo(latest));
  }
}
