package org.gentianslip.core.limit;

/**
 * Restores traffic gradually to a target that has returned with cold caches.
 *
 * <p>The allowed share starts at a first value at the time of the return and rises linearly to 1.
 * Immutable and thread-safe.
 *
 * @param firstShare the share at the time of the return, above 0 and at most 1
 * @param rampNanos the time until the full share is allowed, in nanoseconds, at least 1
 */
public record RecoveryRamp(double firstShare, long rampNanos) {

  /**
   * Validates the numbers.
   *
   * @throws IllegalArgumentException if a number is out of its range
   */
  public RecoveryRamp {
    if (!(firstShare > 0 && firstShare <= 1)) {
      throw new IllegalArgumentException("firstShare must be in (0, 1]: " + firstShare);
    }
    if (rampNanos < 1) {
      throw new IllegalArgumentException("rampNanos must be at least 1: " + rampNanos);
    }
  }

  /**
   * Returns the share that is allowed now, from {@code firstShare} to 1.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @param returnedNanos when the target returned, in nanoseconds of the monotonic clock
   */
  public double share(long nowNanos, long returnedNanos) {
    double progress = (double) (nowNanos - returnedNanos) / rampNanos;
    return Math.min(1, firstShare + (1 - firstShare) * Math.max(0, progress));
  }

  /** Returns the given limit scaled by the share that is allowed now, at least 1. */
  public int limit(long nowNanos, long returnedNanos, int limit) {
    return Math.max(1, (int) (limit * share(nowNanos, returnedNanos)));
  }
}
