package org.gentianslip.core.queue;

/**
 * Measures the exponentially weighted mean of a number over time.
 *
 * <p>Not thread-safe; guarded by the lock of the {@link Dispatcher}.
 */
final class DemandMeter {

  private static final double MEMORY_NANOS = 10e9;

  private long lastNanos;
  private double mean;
  private double last;

  /** Records the number that holds from now on. */
  void note(long nowNanos, double number) {
    advance(nowNanos);
    last = number;
  }

  /** Returns the mean until now. */
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
