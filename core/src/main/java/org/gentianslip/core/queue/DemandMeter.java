package org.gentianslip.core.queue;

/**
 * Measures a number over time, as a mean that forgets.
 *
 * <p>Not safe for use by several threads; its holder's lock guards it.
 */
final class DemandMeter {

  private static final double MEMORY_NANOS = 10e9;

  private long lastNanos;
  private double mean;
  private double last;

  /** Notes the number from now on. */
  void note(long nowNanos, double number) {
    advance(nowNanos);
    last = number;
  }

  /** Returns the mean up to now. */
  double mean(long nowNanos) {
    advance(nowNanos);
    return mean;
  }

  private void advance(long nowNanos) {
    if (nowNanos > lastNanos) {
      double kept = Math.exp((lastNanos - nowNanos) / MEMORY_NANOS);
      mean = mean * kept + last * (1 - kept);
      lastNanos = nowNanos;
    }
  }
}
