package org.gentianslip.bench.scenario;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.gentianslip.bench.fleet.FleetSpec;
import org.gentianslip.bench.fleet.Fleets;
import org.gentianslip.core.id.Rank;
import org.junit.jupiter.api.Test;

class ArrivalGeneratorTest {

  private static final double FLOOD_SECONDS =
      Scenario.EVENT_END_SECONDS - Scenario.EVENT_START_SECONDS;

  private final FleetSpec fleet = Fleets.qadri();
  private final ArrivalGenerator generator = ArrivalGenerator.of(fleet);

  @Test
  void generatesTheSameArrivalsOutsideTheFloodWithAndWithoutIt() {
    List<Arrival> with = generator.generate(Scenarios.otherFlood(), 1);
    List<Arrival> without = generator.generate(Scenarios.steady(), 1);
    assertThat(with.stream().filter(a -> !a.partOfFlood()).toList(), is(without));
  }

  @Test
  void generatesFloodsOfFiveTimesTheCapacity() {
    long floodRequests =
        generator.generate(Scenarios.urgentFlood(), 1).stream()
            .filter(Arrival::partOfFlood)
            .count();
    double capacity = generator.answersPerSecond(Rank.URGENT) * fleet.engineCount() * FLOOD_SECONDS;
    assertThat(floodRequests / capacity, is(closeTo(5, 0.25)));
  }
}
