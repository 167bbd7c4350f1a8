package org.gentianslip.standin.relay;

/**
 * Shares the rate of one direction of a link among its connections.
 *
 * <p>The times that it gives never fall. Safe for use by several threads.
 */
final class LinkRate {

  private static final double NANOS_PER_BYTE_AT_ONE_MEGABIT = 8_000;

  private final double nanosPerByte;
  private long freeNanos;
  private boolean used;

  LinkRate(double megabitsPerSecond) {
    this.nanosPerByte =
        megabitsPerSecond == 0 ? 0 : NANOS_PER_BYTE_AT_ONE_MEGABIT / megabitsPerSecond;
  }

  /** Returns when the last of some bytes that arrive now has left for the link. */
  synchronized long departureNanos(int bytes, long nowNanos) {
    long begin = used && freeNanos - nowNanos > 0 ? freeNanos : nowNanos;
    used = true;
    freeNanos = begin + (long) (bytes * nanosPerByte);
    return freeNanos;
  }
}
