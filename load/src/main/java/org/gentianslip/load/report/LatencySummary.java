package org.gentianslip.load.report;

import org.HdrHistogram.AbstractHistogram;

/**
 * A summary of a latency histogram.
 *
 * <p>Immutable and thread-safe.
 *
 * @param count the number of recorded values
 * @param p50Millis the median, in milliseconds
 * @param p90Millis the 90th percentile, in milliseconds
 * @param p99Millis the 99th percentile, in milliseconds
 * @param maxMillis the maximum, in milliseconds
 */
public record LatencySummary(
    long count, double p50Millis, double p90Millis, double p99Millis, double maxMillis) {

  private static final double MICROS_PER_MILLI = 1_000;

  /** Returns the summary of a histogram whose values are in microseconds. */
  public static LatencySummary of(AbstractHistogram micros) {
    return new LatencySummary(
        micros.getTotalCount(),
        micros.getValueAtPercentile(50) / MICROS_PER_MILLI,
        micros.getValueAtPercentile(90) / MICROS_PER_MILLI,
        micros.getValueAtPercentile(99) / MICROS_PER_MILLI,
        micros.getMaxValue() / MICROS_PER_MILLI);
  }
}
