package org.gentianslip.burn.metric;

import java.util.Map;

/**
 * The totals of all series at one time.
 *
 * <p>Totals are never smaller in a later snapshot of the same accumulator. Immutable and
 * thread-safe.
 *
 * @param atNanos the time of the monotonic clock, in nanoseconds
 * @param totals the totals, by series
 */
public record CounterSnapshot(long atNanos, Map<RegionalSeries, Double> totals) {

  /** Copies the totals. */
  public CounterSnapshot {
    totals = Map.copyOf(totals);
  }
}
