package org.gentianslip.core.load;

/**
 * Decides when a refused caller is asked to come back. Stateless and safe for use by several
 * threads.
 */
public final class RetryDelay {

  /** The part of the time that is left within which callers come back at all. */
  private static final double USABLE_SHARE = 1 / 3.0;

  /** The part of that time that is used, so that a slow way does not exceed it. */
  private static final double LATEST = 0.92;

  /** The first part of it from which returns are spread after a long overload. */
  private static final double EARLIEST = 0.55;

  /** The least wait, in milliseconds. */
  private static final double LEAST_MILLIS = 60;

  private RetryDelay() {}

  /**
   * Returns the wait, in milliseconds: a little more than the excess, spread so that callers do not
   * come back together; if the overload is longer than the caller can wait, late and spread widely.
   *
   * @param excessMillis how much too long the wait is now
   * @param remainingMillis how long the caller waits for an answer
   * @param fraction a number from 0 to 1, evenly spread over the callers
   */
  public static long millis(double excessMillis, long remainingMillis, double fraction) {
    double latest = Math.max(LEAST_MILLIS, remainingMillis * USABLE_SHARE * LATEST);
    double wanted = LEAST_MILLIS + excessMillis * (1 + fraction / 2) + LEAST_MILLIS * fraction;
    if (wanted < latest * EARLIEST) {
      return (long) wanted;
    }
    return (long) (latest * (EARLIEST + (1 - EARLIEST) * fraction));
  }
}
