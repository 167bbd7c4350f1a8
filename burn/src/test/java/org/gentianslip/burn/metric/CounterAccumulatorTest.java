package org.gentianslip.burn.metric;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import org.gentianslip.core.id.RegionId;
import org.junit.jupiter.api.Test;

/** Tests {@link CounterAccumulator}. */
class CounterAccumulatorTest {

  private static final RegionId REGION = RegionId.of("graz");

  private final CounterAccumulator accumulator = new CounterAccumulator();

  @Test
  void addsUpTheInstancesOfOneRegion() {
    accumulator.add("e1", REGION, samples(3));
    accumulator.add("e2", REGION, samples(4));

    assertThat(total(), is(7.0));
  }

  @Test
  void countsAnUnchangedCounterOnce() {
    accumulator.add("e1", REGION, samples(3));
    accumulator.add("e1", REGION, samples(3));

    assertThat(total(), is(3.0));
  }

  @Test
  void continuesCountingAfterAnInstanceRestarts() {
    accumulator.add("e1", REGION, samples(10));
    accumulator.add("e1", REGION, samples(2));

    assertThat(total(), is(12.0));
  }

  private double total() {
    return accumulator.snapshot(0).totals().get(new RegionalSeries("a_total", Map.of(), REGION));
  }

  private static List<MetricSample> samples(double value) {
    return List.of(new MetricSample("a_total", Map.of(), value));
  }
}
