package org.gentianslip.burn.metric;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gentianslip.core.id.RegionId;

/**
 * Accumulates the counters of instances into totals that restarts of the instances do not reset.
 *
 * <p>A counter whose value is smaller than before was reset to 0 by a restart of its instance.
 * Totals never decrease. Not thread-safe.
 */
public final class CounterAccumulator {

  private final Map<String, Map<RegionalSeries, Double>> lastValuesByInstance = new HashMap<>();
  private final Map<RegionalSeries, Double> totals = new HashMap<>();

  /** Adds the metrics that were read from one instance. */
  public void add(String instance, RegionId region, List<MetricSample> samples) {
    Map<RegionalSeries, Double> lastValues =
        lastValuesByInstance.computeIfAbsent(instance, i -> new HashMap<>());
    for (MetricSample sample : samples) {
      RegionalSeries series = new RegionalSeries(sample.name(), sample.labels(), region);
      double previous = lastValues.getOrDefault(series, 0.0);
      double increase = sample.value() < previous ? sample.value() : sample.value() - previous;
      lastValues.put(series, sample.value());
      totals.merge(series, increase, Double::sum);
    }
  }

  /**
   * Returns the totals so far.
   *
   * @param nowNanos the current time of the monotonic clock, in nanoseconds
   */
  public CounterSnapshot snapshot(long nowNanos) {
    return new CounterSnapshot(nowNanos, totals);
  }
}
