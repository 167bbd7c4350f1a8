package org.gentianslip.core.queue;

/**
 * Holds the limits of a {@link RequestQueue}.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param maxLength the greatest number of waiting requests of one rank, at least 1
 * @param otherFloor the share of the served work that the other rank gets at least while it waits,
 *     from 0 to below 1
 * @param firstTokenNanos the time from leaving the queue to the first token, in nanoseconds; a
 *     request whose deadline is nearer than that waits in vain
 * @param burstWork the work that a customer of weight 1 may get ahead of its fair share after it
 *     has stayed below it, in tokens of an answer
 */
public record QueueLimits(
    int maxLength, double otherFloor, long firstTokenNanos, double burstWork) {

  /**
   * Checks the limits.
   *
   * @throws IllegalArgumentException if a limit is out of its range
   */
  public QueueLimits {
    if (maxLength < 1) {
      throw new IllegalArgumentException("maxLength must be at least 1: " + maxLength);
    }
    if (!(otherFloor >= 0 && otherFloor < 1)) {
      throw new IllegalArgumentException("otherFloor must be in [0, 1): " + otherFloor);
    }
    if (firstTokenNanos < 0) {
      throw new IllegalArgumentException(
          "firstTokenNanos must not be negative: " + firstTokenNanos);
    }
    if (!(burstWork >= 0)) {
      throw new IllegalArgumentException("burstWork must not be negative: " + burstWork);
    }
  }
}
