package org.gentianslip.core.queue;

import java.util.OptionalDouble;

/**
 * Measures how fast a backlog drains, as a mean that forgets.
 *
 * <p>Only time with a backlog counts: without one, the rate would be that of the arrivals. Not safe
 * for use by several threads; its queue's lock guards it.
 */
final class DrainMeter {

  private static final double MEMORY_NANOS = 5e9;
  private static final double MIN_OBSERVED_NANOS = 1e9;

  private long lastNanos;
  private double work;
  private double observedNanos;

  /** Notes the time that passed since the last call. */
  void advance(long nowNanos, boolean backlog) {
    if (backlog && nowNanos > lastNanos) {
      double elapsed = nowNanos - lastNanos;
      double kept = Math.exp(-elapsed / MEMORY_NANOS);
      work *= kept;
      observedNanos = observedNanos * kept + MEMORY_NANOS * (1 - kept);
    }
    lastNanos = Math.max(lastNanos, nowNanos);
  }

  /** Notes work that left the backlog. */
  void served(double amount) {
    work += amount;
  }

  /** Returns the rate in work per nanosecond, or nothing if the backlog is too young to tell. */
  OptionalDouble rate() {
    if (observedNanos < MIN_OBSERVED_NANOS || work <= 0) {
      return OptionalDouble.empty();
    }
    return OptionalDouble.of(work / observedNanos);
  }
}
