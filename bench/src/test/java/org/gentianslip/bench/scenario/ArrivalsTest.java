package org.gentianslip.bench.scenario;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.gentianslip.bench.fleet.FleetSpec;
import org.gentianslip.bench.fleet.Fleets;
import org.gentianslip.core.id.Rank;
import org.junit.jupiter.api.Test;

class ArrivalsTest {

  private static final double FLOOD_SECONDS =
      Scenario.EVENT_END_SECONDS - Scenario.EVENT_START_SECONDS;

  private final FleetSpec fleet = Fleets.qadri();
  private final Arrivals source = Arrivals.of(fleet);

  @Test
  void areTheSameOutsideTheFloodWithAndWithoutIt() {
    List<Arrival> with = source.draw(Scenarios.otherFlood(), 1);
    List<Arrival> without = source.draw(Scenarios.steady(), 1);
    assertThat(with.stream().filter(a -> !a.flooding()).toList(), is(without));
  }

  @Test
  void floodTheFleetWithFiveTimesItsCapacity() {
    long flooding =
        source.draw(Scenarios.urgentFlood(), 1).stream().filter(Arrival::flooding).count();
    double capacity = source.answersPerSecond(Rank.URGENT) * fleet.engines() * FLOOD_SECONDS;
    assertThat(flooding / capacity, is(closeTo(5, 0.25)));
  }
}
