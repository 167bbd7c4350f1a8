package org.gentianslip.core.routing;

import org.gentianslip.core.id.Rank;

/**
 * Tells how long the requests that wait in this instance take to drain, by rank.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param urgentNanos the time for the urgent rank, in nanoseconds
 * @param otherNanos the time for the other rank, in nanoseconds
 */
public record BacklogWaits(long urgentNanos, long otherNanos) {

  /** No request waits. */
  public static final BacklogWaits NONE = new BacklogWaits(0, 0);

  /**
   * Checks the times.
   *
   * @throws IllegalArgumentException if a time is negative
   */
  public BacklogWaits {
    if (urgentNanos < 0 || otherNanos < 0) {
      throw new IllegalArgumentException(
          "Waits must not be negative: " + urgentNanos + ", " + otherNanos);
    }
  }

  /** Returns the time for a rank, in nanoseconds. */
  public long of(Rank rank) {
    return rank == Rank.URGENT ? urgentNanos : otherNanos;
  }
}
