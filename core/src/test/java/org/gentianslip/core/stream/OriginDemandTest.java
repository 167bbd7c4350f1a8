package org.gentianslip.core.stream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.TimeUnit;
import org.gentianslip.core.id.InstanceId;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The demand for origins")
class OriginDemandTest {

  private static final InstanceId PEER = InstanceId.of("north-1");

  private final OriginDemand demand = new OriginDemand();

  @Test
  void reachesTheMemberBehindTwoRelaysAndNoFurther() {
    int steps = new OriginDemand().steps(0, true);
    for (int i = 0; i < 3; i++) {
      var next = new OriginDemand();
      next.record(0, PEER, steps);
      assertThat(next.isPresent(0, false), is(true));
      steps = next.steps(0, false);
    }
    assertThat(steps, is(0));
  }

  @Test
  void endsWithItsCause() {
    demand.record(0, PEER, 2);
    demand.record(1, PEER, 0);
    assertThat(demand.isPresent(1, false), is(false));
  }

  @Test
  void endsWithSilence() {
    demand.record(0, PEER, 2);
    assertThat(demand.isPresent(TimeUnit.SECONDS.toNanos(2), false), is(true));
    assertThat(demand.isPresent(TimeUnit.SECONDS.toNanos(4), false), is(false));
  }
}
