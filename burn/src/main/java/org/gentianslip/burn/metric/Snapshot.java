package org.gentianslip.burn.metric;

import java.util.Map;

/**
 * Totals of all series at one time.
 *
 * <p>Totals of a later snapshot of the same source are never smaller. Immutable and safe for use by
 * several threads.
 *
 * @param atNanos the monotonic time, in nanoseconds
 * @param totals the totals by series
 */
public record Snapshot(long atNanos, Map<Series, Double> totals) {

  /** Copies the totals. */
  public Snapshot {
    totals = Map.copyOf(totals);
  }
}
