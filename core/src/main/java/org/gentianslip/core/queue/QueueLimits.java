package org.gentianslip.core.queue;

/**
 * The limits of a {@link RequestQueue}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maxLength the maximum number of waiting requests of one rank, at least 1
 * @param otherFloor the minimum share of the served work that the other rank gets while its
 *     requests wait, at least 0 and below 1
 * @param firstTokenNanos the time from leaving the queue to the first token, in nanoseconds; a
 *     request with less time to its deadline cannot meet it
 * @param burstWork the burst credit of a customer of weight 1: the work that may be served ahead of
 *     its fair share after the customer has stayed below that share, in answer tokens
 */
public record QueueLimits(
    int maxLength, double otherFloor, long firstTokenNanos, double burstWork) {

  /**
   * Validates the limits.
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
