package org.gentianslip.core.order;

import java.util.Optional;

/**
 * An instance's share of the weight store's rate.
 *
 * <p>It begins empty and holds at most one load, so in any time a number of instances start at most
 * the loads that their rates add up to and one more each. Immutable.
 *
 * @param loads the loads that may start now
 * @param perSecond the loads earned in a second
 * @param atNanos when {@code loads} was worked out
 */
record LoadBudget(double loads, double perSecond, long atNanos) {

  private static final double MAX_LOADS = 1;
  private static final double NANOS_PER_SECOND = 1e9;

  static LoadBudget empty(long nowNanos) {
    return new LoadBudget(0, 0, nowNanos);
  }

  /** Returns the budget with what was earned until a time, which counts no time twice. */
  LoadBudget earn(long untilNanos) {
    long elapsed = untilNanos - atNanos;
    if (elapsed <= 0) {
      return this;
    }
    double earned = elapsed / NANOS_PER_SECOND * perSecond;
    return new LoadBudget(Math.min(MAX_LOADS, loads + earned), perSecond, untilNanos);
  }

  /** Returns the budget with another rate from now on; the time until now earns nothing more. */
  LoadBudget withRate(double otherPerSecond, long nowNanos) {
    return new LoadBudget(loads, otherPerSecond, nowNanos);
  }

  /** Returns the budget after one load, or nothing if it does not suffice. */
  Optional<LoadBudget> take() {
    return loads >= MAX_LOADS
        ? Optional.of(new LoadBudget(loads - MAX_LOADS, perSecond, atNanos))
        : Optional.empty();
  }
}
