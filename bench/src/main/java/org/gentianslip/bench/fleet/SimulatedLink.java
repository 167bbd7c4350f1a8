package org.gentianslip.bench.fleet;

/**
 * A simulated link that carries bytes in one direction between two regions, with a limited rate and
 * a delay. Not thread-safe.
 */
public final class SimulatedLink {

  private static final double BITS_PER_BYTE = 8;
  private static final double NANOS_PER_SECOND = 1e9;

  private final double nanosPerByte;
  private final long delayNanos;
  private long busyUntilNanos;
  private long sentBytes;
  private boolean up = true;

  /** Creates an idle link. */
  public SimulatedLink(long bitsPerSecond, long delayNanos) {
    this.nanosPerByte = BITS_PER_BYTE * NANOS_PER_SECOND / bitsPerSecond;
    this.delayNanos = delayNanos;
  }

  /** Returns whether the link is up. */
  public boolean isUp() {
    return up;
  }

  /** Cuts or restores the link. */
  public void setUp(boolean isUp) {
    up = isUp;
  }

  /** Returns the number of bytes sent so far. */
  public long sentBytes() {
    return sentBytes;
  }

  /** Sends bytes and returns the virtual time at which the last one arrives, in nanoseconds. */
  public long transmit(long nowNanos, long byteCount) {
    sentBytes += byteCount;
    busyUntilNanos = Math.max(busyUntilNanos, nowNanos) + (long) (byteCount * nanosPerByte);
    return busyUntilNanos + delayNanos;
  }
}
