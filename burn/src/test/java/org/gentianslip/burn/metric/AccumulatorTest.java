package org.gentianslip.burn.metric;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import org.gentianslip.core.id.RegionId;
import org.junit.jupiter.api.Test;

/** Tests {@link Accumulator}. Used by one thread. */
class AccumulatorTest {

  private static final RegionId REGION = RegionId.of("graz");

  private final Accumulator accumulator = new Accumulator();

  @Test
  void addsInstancesOfOneRegion() {
    accumulator.add("e1", REGION, lines(3));
    accumulator.add("e2", REGION, lines(4));

    assertThat(total(), is(7.0));
  }

  @Test
  void countsAnUnchangedCounterOnce() {
    accumulator.add("e1", REGION, lines(3));
    accumulator.add("e1", REGION, lines(3));

    assertThat(total(), is(3.0));
  }

  @Test
  void countsOnAfterAnInstanceStartedAnew() {
    accumulator.add("e1", REGION, lines(10));
    accumulator.add("e1", REGION, lines(2));

    assertThat(total(), is(12.0));
  }

  private double total() {
    return accumulator.snapshot(0).totals().get(new Series("a_total", Map.of(), REGION));
  }

  private static List<MetricLine> lines(double value) {
    return List.of(new MetricLine("a_total", Map.of(), value));
  }
}
