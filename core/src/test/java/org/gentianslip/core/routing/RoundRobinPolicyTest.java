package org.gentianslip.core.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.gentianslip.core.id.EngineId;
import org.junit.jupiter.api.Test;

class RoundRobinPolicyTest {

  private static EngineView engine(String id, boolean usable) {
    return new EngineView(EngineId.of(id), Set.of(Requests.MODEL), 1, 1, 1, 0, 0, usable);
  }

  @Test
  void takesUsableEnginesInTurn() {
    var policy = new RoundRobinPolicy();
    var engines = List.of(engine("a", true), engine("b", false), engine("c", true));
    var view = new RoutingView(Requests.HOME, engines, List.of());
    Set<RoutingDecision> decisions = new HashSet<>();
    for (int i = 0; i < 3; i++) {
      decisions.add(policy.decide(0, Requests.withPrefix("r", 1, false), view));
    }
    assertThat(decisions, hasSize(2));
  }

  @Test
  void refusesWithoutEngines() {
    var view = new RoutingView(Requests.HOME, List.of(), List.of());
    var decision = new RoundRobinPolicy().decide(0, Requests.withPrefix("r", 1, false), view);
    assertThat(decision, instanceOf(RoutingDecision.Refuse.class));
  }
}
