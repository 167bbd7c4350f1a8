package org.gentianslip.core.order;

import java.util.Optional;

/**
 * An instance's budget of loads from the weight store.
 *
 * <p>The budget starts empty and holds at most one load. In any time span, a number of instances
 * together therefore start at most the loads that their rates allow plus one per instance.
 * Immutable.
 *
 * @param loads the number of loads that may start now
 * @param perSecond the refill rate, in loads per second
 * @param atNanos when {@code loads} was computed, in nanoseconds of the monotonic clock
 */
record LoadBudget(double loads, double perSecond, long atNanos) {

  private static final double MAX_LOADS = 1;
  private static final double NANOS_PER_SECOND = 1e9;

  static LoadBudget empty(long nowNanos) {
    return new LoadBudget(0, 0, nowNanos);
  }

  /**
   * Returns the budget refilled for the time from the last refill to the given time; no time counts
   * twice.
   */
  LoadBudget refill(long untilNanos) {
    long elapsedNanos = untilNanos - atNanos;
    if (elapsedNanos <= 0) {
      return this;
    }
    double refilled = elapsedNanos / NANOS_PER_SECOND * perSecond;
    return new LoadBudget(Math.min(MAX_LOADS, loads + refilled), perSecond, untilNanos);
  }

  /** Returns the budget with another rate from now on; the time before now no longer refills it. */
  LoadBudget withRate(double otherPerSecond, long nowNanos) {
    return new LoadBudget(loads, otherPerSecond, nowNanos);
  }

  /** Returns the budget after the start of one load, or nothing if the budget is too small. */
  Optional<LoadBudget> tryTake() {
    return loads >= MAX_LOADS
        ? Optional.of(new LoadBudget(loads - MAX_LOADS, perSecond, atNanos))
        : Optional.empty();
  }
}
