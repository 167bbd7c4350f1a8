package org.gentianslip.core.queue;

import java.util.OptionalDouble;

/**
 * Measures the exponentially weighted mean rate at which a backlog drains.
 *
 * <p>Only time with a backlog counts, since without a backlog the rate would be that of the
 * arrivals. Not thread-safe; guarded by the lock of the {@link RequestQueue}.
 */
final class DrainMeter {

  private static final double TIME_CONSTANT_NANOS = 5e9;
  private static final double MIN_OBSERVED_NANOS = 1e9;

  private long lastNanos;
  private double work;
  private double observedNanos;

  /**
   * Accounts for the time since the last call.
   *
   * @param backlog whether requests were waiting in that time
   */
  void advance(long nowNanos, boolean backlog) {
    if (backlog && nowNanos > lastNanos) {
      double elapsedNanos = nowNanos - lastNanos;
      double decay = Math.exp(-elapsedNanos / TIME_CONSTANT_NANOS);
      work *= decay;
      observedNanos = observedNanos * decay + TIME_CONSTANT_NANOS * (1 - decay);
    }
    lastNanos = Math.max(lastNanos, nowNanos);
  }

  /** Records work that left the backlog. */
  void recordServed(double amount) {
    work += amount;
  }

  /**
   * Returns the rate in work per nanosecond, or nothing if the backlog was observed for too short a
   * time.
   */
  OptionalDouble rate() {
    if (observedNanos < MIN_OBSERVED_NANOS || work <= 0) {
      return OptionalDouble.empty();
    }
    return OptionalDouble.of(work / observedNanos);
  }
}
