package org.gentianslip.standin.relay;

/**
 * Limits the rate of one direction of a link, which all connections share.
 *
 * <p>The returned departure times never decrease. Safe for use by several threads.
 */
final class LinkRateLimiter {

  private static final double NANOS_PER_BYTE_AT_ONE_MEGABIT = 8_000;

  private final double nanosPerByte;
  private long busyUntilNanos;
  private boolean used;

  LinkRateLimiter(double megabitsPerSecond) {
    this.nanosPerByte =
        megabitsPerSecond == 0 ? 0 : NANOS_PER_BYTE_AT_ONE_MEGABIT / megabitsPerSecond;
  }

  /** Returns the time at which the last of the given bytes has been sent, in nanoseconds. */
  synchronized long departureNanos(int bytes, long nowNanos) {
    long beginNanos = used && busyUntilNanos - nowNanos > 0 ? busyUntilNanos : nowNanos;
    used = true;
    busyUntilNanos = beginNanos + (long) (bytes * nanosPerByte);
    return busyUntilNanos;
  }
}
