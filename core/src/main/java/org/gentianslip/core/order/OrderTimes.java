package org.gentianslip.core.order;

import java.time.Duration;

/**
 * The times that bound how long beliefs are acted on.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param viewLifeNanos how long after its confirmation a list is acted on, in nanoseconds
 * @param orderLifeNanos how long after its last check an order may arrive, in nanoseconds
 * @param conditionLifeNanos how long the state that was read of an engine is acted on, in
 *     nanoseconds
 */
public record OrderTimes(long viewLifeNanos, long orderLifeNanos, long conditionLifeNanos) {

  /** The usual times. */
  public static final OrderTimes DEFAULT =
      of(Duration.ofSeconds(60), Duration.ofSeconds(5), Duration.ofSeconds(2));

  private static final long MARGIN_DIVISOR = 4;

  /**
   * Checks the times.
   *
   * @throws IllegalArgumentException if one is not positive
   */
  public OrderTimes {
    if (viewLifeNanos <= 0 || orderLifeNanos <= 0 || conditionLifeNanos <= 0) {
      throw new IllegalArgumentException(
          "times must be positive: %d, %d, %d"
              .formatted(viewLifeNanos, orderLifeNanos, conditionLifeNanos));
    }
  }

  /** Returns the times with the given durations. */
  public static OrderTimes of(Duration viewLife, Duration orderLife, Duration conditionLife) {
    return new OrderTimes(viewLife.toNanos(), orderLife.toNanos(), conditionLife.toNanos());
  }

  /**
   * Returns how long a new author waits: longer than an earlier author acts on its list and its
   * last order travels, with a margin for clocks that run at different rates.
   */
  public long quietNanos() {
    long longest = viewLifeNanos + orderLifeNanos;
    return longest + longest / MARGIN_DIVISOR;
  }
}
