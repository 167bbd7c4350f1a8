package org.gentianslip.burn.metric;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gentianslip.core.id.RegionId;

/**
 * Adds the counters of instances to totals that outlive the instances.
 *
 * <p>A counter that is smaller than before belongs to an instance that was started anew and counts
 * from 0. Totals never fall. Not safe for use by several threads.
 */
public final class Accumulator {

  private final Map<String, Map<Series, Double>> lastByInstance = new HashMap<>();
  private final Map<Series, Double> totals = new HashMap<>();

  /** Takes what one instance offers. */
  public void add(String instance, RegionId region, List<MetricLine> lines) {
    Map<Series, Double> last = lastByInstance.computeIfAbsent(instance, i -> new HashMap<>());
    for (MetricLine line : lines) {
      Series series = new Series(line.name(), line.labels(), region);
      double before = last.getOrDefault(series, 0.0);
      double increase = line.value() < before ? line.value() : line.value() - before;
      last.put(series, line.value());
      totals.merge(series, increase, Double::sum);
    }
  }

  /**
   * Returns the totals so far.
   *
   * @param nowNanos the present time of the monotonic clock, in nanoseconds
   */
  public Snapshot snapshot(long nowNanos) {
    return new Snapshot(nowNanos, totals);
  }
}
