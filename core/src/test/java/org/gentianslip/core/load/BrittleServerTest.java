package org.gentianslip.core.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Optional;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.limit.StatedLimit;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a backend server that falls over as it refuses too many requests. */
@DisplayName("A backend server that bears few refusals in a second")
class BrittleServerTest {

  private static final long SECOND = 1_000_000_000L;
  private static final EngineId SERVER = EngineId.of("e");

  /** The time after which it lets no requests wait any more. */
  private static final long CONTACT_MILLIS = 5_000;

  /** The time after which all instances have heard what it bears. */
  private static final long LEARNING_MILLIS = 1_500;

  /** The time in which the first refusals show that slots are taken. */
  private static final long NOTICE_MILLIS = 3_000;

  private static final long RUN_MILLIS = 30_000;

  @ParameterizedTest
  @CsvSource({
    "1, 6, 5, 30",
    "3, 6, 5, 30",
    "3, 64, 5, 300",
    "3, 64, 1, 2000",
    "28, 6, 5, 30",
    "28, 64, 5, 300",
    "28, 64, 2, 2000",
    "3, 6, 20, 300",
    "95, 64, 8, 30"
  })
  void refusesNoMoreOnceNothingWaits(int instances, int slots, int perSecond, long serviceMillis) {
    var simulation = new BrittleServerSimulation(instances, slots, perSecond, serviceMillis);
    simulation.run(LEARNING_MILLIS);
    simulation.resetRefusals();
    simulation.run(CONTACT_MILLIS - LEARNING_MILLIS);
    simulation.endQueue();
    simulation.run(RUN_MILLIS);
    assertThat(simulation.mostRefusals(), is(lessThanOrEqualTo(perSecond)));
    double served = simulation.servedShare(CONTACT_MILLIS + RUN_MILLIS);
    assertThat(served, is(greaterThan(0.5)));
  }

  @ParameterizedTest
  @CsvSource({"3, 64, 5, 300", "28, 64, 20, 300"})
  void refusesNoMoreOnceItIsKnownThatOthersTakeSlots(
      int instances, int slots, int perSecond, long serviceMillis) {
    var simulation = new BrittleServerSimulation(instances, slots, perSecond, serviceMillis);
    simulation.run(LEARNING_MILLIS);
    simulation.resetRefusals();
    simulation.run(CONTACT_MILLIS - LEARNING_MILLIS);
    simulation.endQueue();
    simulation.takeSlots(slots / 8);
    simulation.run(NOTICE_MILLIS);
    simulation.resetRefusals();
    simulation.run(RUN_MILLIS);
    assertThat(simulation.mostRefusals(), is(lessThanOrEqualTo(perSecond)));
  }

  @Test
  void isNoLongerSparedAfterAnAnswerThatDoesNotSaySo() {
    var load = new BackendLoad(6, null);
    load.applyRefusalLimit(new StatedLimit(0, SECOND));
    assertThat(load.endRefusalLimit(SECOND - 1, SECOND + 1), is(false));
    assertThat(load.endRefusalLimit(SECOND, SECOND + 2), is(true));
    for (int i = 0; i < 12; i++) {
      BackendEstimate estimate =
          load.estimate(SECOND + 2, false, RequestSize.UNKNOWN, Optional.empty());
      load.reserve(SECOND + 2, false, RequestSize.UNKNOWN, estimate);
    }
    assertThat(load.isWithinRefusalLimit(2 * SECOND, SERVER, SendRates.UNRESTRICTED), is(true));
  }
}
