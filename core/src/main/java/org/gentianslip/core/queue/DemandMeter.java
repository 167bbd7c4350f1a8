package org.gentianslip.core.queue;

/**
 * Measures the exponentially weighted mean of a number over time.
 *
 * <p>Not thread-safe; guarded by the lock of the {@link Dispatcher}.
 */
final class DemandMeter {

  private static final double TIME_CONSTANT_NANOS = 10e9;

  private long lastNanos;
  private double mean;
  private double current;

  /** Records the number that holds from now on. */
  void record(long nowNanos, double number) {
    advance(nowNanos);
    current = number;
  }

  /** Returns the mean until now. */
  double mean(long nowNanos) {
    advance(nowNanos);
    return mean;
  }

  private void advance(long nowNanos) {
    if (nowNanos > lastNanos) {
      double decay = Math.exp((lastNanos - nowNanos) / TIME_CONSTANT_NANOS);
      mean = mean * decay + current * (1 - decay);
      lastNanos = nowNanos;
    }
  }
}
