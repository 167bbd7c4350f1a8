package org.gentianslip.bench.fleet;

/**
 * Carries bytes one way between two regions, at a limited rate and with a delay. For one thread.
 */
public final class Link {

  private static final double BITS_PER_BYTE = 8;
  private static final double NANOS_PER_SECOND = 1e9;

  private final double nanosPerByte;
  private final long delayNanos;
  private long busyUntilNanos;
  private long bytes;
  private boolean up = true;

  /** Makes an idle link. */
  public Link(long bitsPerSecond, long delayNanos) {
    this.nanosPerByte = BITS_PER_BYTE * NANOS_PER_SECOND / bitsPerSecond;
    this.delayNanos = delayNanos;
  }

  /** Returns whether the link carries anything. */
  public boolean isUp() {
    return up;
  }

  /** Cuts or mends the link. */
  public void setUp(boolean works) {
    up = works;
  }

  /** Returns the bytes that were sent. */
  public long bytes() {
    return bytes;
  }

  /** Sends bytes and returns when the last one arrives, in nanoseconds of virtual time. */
  public long send(long nowNanos, long count) {
    bytes += count;
    busyUntilNanos = Math.max(busyUntilNanos, nowNanos) + (long) (count * nanosPerByte);
    return busyUntilNanos + delayNanos;
  }
}
