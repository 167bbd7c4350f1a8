package org.gentianslip.core.order;

import java.time.Duration;

/**
 * The periods for which lists, orders and engine states are valid.
 *
 * <p>Immutable and thread-safe.
 *
 * @param listLifeNanos how long a list is valid after its confirmation, in nanoseconds
 * @param orderLifeNanos how long after its last check an order may still arrive, in nanoseconds
 * @param stateLifeNanos how long the state of an engine is valid after it was read, in nanoseconds
 */
public record OrderTimes(long listLifeNanos, long orderLifeNanos, long stateLifeNanos) {

  /** The default times. */
  public static final OrderTimes DEFAULT =
      of(Duration.ofSeconds(60), Duration.ofSeconds(5), Duration.ofSeconds(2));

  private static final long CLOCK_MARGIN_DIVISOR = 4;

  /**
   * Validates the times.
   *
   * @throws IllegalArgumentException if a time is not positive
   */
  public OrderTimes {
    if (listLifeNanos <= 0 || orderLifeNanos <= 0 || stateLifeNanos <= 0) {
      throw new IllegalArgumentException(
          "Validity periods must be positive: %d, %d, %d"
              .formatted(listLifeNanos, orderLifeNanos, stateLifeNanos));
    }
  }

  /** Returns the times with the given durations. */
  public static OrderTimes of(Duration viewLife, Duration orderLife, Duration stateLife) {
    return new OrderTimes(viewLife.toNanos(), orderLife.toNanos(), stateLife.toNanos());
  }

  /**
   * Returns how long a new author waits, in nanoseconds.
   *
   * <p>The time is longer than the list of an earlier author is valid plus the time in which its
   * last order may still arrive, with a margin for clocks that run at different rates.
   */
  public long quietNanos() {
    long longestNanos = listLifeNanos + orderLifeNanos;
    return longestNanos + longestNanos / CLOCK_MARGIN_DIVISOR;
  }
}
