package org.gentianslip.core.load;

/** Computes the delay after which a refused caller is asked to retry. Stateless and thread-safe. */
public final class RetryDelay {

  /** The share of their remaining time within which callers retry at all. */
  private static final double USABLE_SHARE = 1 / 3.0;

  /** The share of that time that is used; the rest allows for a slow network. */
  private static final double LATEST_SHARE = 0.92;

  /** The shortest delay in a long overload, as a share of the latest possible delay. */
  private static final double EARLIEST_SHARE = 0.55;

  /** The minimum delay, in milliseconds. */
  private static final double MIN_MILLIS = 60;

  /** The part of a pause over which the retries after it are spread. */
  private static final double PAUSE_SPREAD = 0.25;

  private RetryDelay() {}

  /**
   * Returns the delay before a retry, in milliseconds.
   *
   * <p>The delay is a little longer than the excess, and spread so that callers do not retry at the
   * same time. If the overload lasts longer than the caller can wait, the delay is close to the
   * latest possible one and spread more widely.
   *
   * @param excessMillis the time by which an answer would be late now, in milliseconds
   * @param remainingMillis how long the caller still waits for an answer, in milliseconds
   * @param fraction a number from 0 to 1, uniformly distributed over the callers
   */
  public static long millis(double excessMillis, long remainingMillis, double fraction) {
    double latestMillis = Math.max(MIN_MILLIS, remainingMillis * USABLE_SHARE * LATEST_SHARE);
    double delayMillis = MIN_MILLIS + excessMillis * (1 + fraction / 2) + MIN_MILLIS * fraction;
    if (delayMillis < latestMillis * EARLIEST_SHARE) {
      return (long) delayMillis;
    }
    return (long) (latestMillis * (EARLIEST_SHARE + (1 - EARLIEST_SHARE) * fraction));
  }

  /**
   * Returns the delay before a retry if no backend server wants work for a known time, in
   * milliseconds: a little longer than that time, also if the caller does not wait that long.
   *
   * @param pauseMillis the time for which no backend server wants work, in milliseconds
   * @param fraction a number from 0 to 1, uniformly distributed over the callers
   */
  public static long afterPause(double pauseMillis, double fraction) {
    return (long)
        (pauseMillis + MIN_MILLIS * (1 + fraction) + PAUSE_SPREAD * pauseMillis * fraction);
  }
}
