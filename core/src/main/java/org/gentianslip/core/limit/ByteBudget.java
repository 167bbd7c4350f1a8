package org.gentianslip.core.limit;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A token bucket that limits the bytes that an instance sends over a link.
 *
 * <p>The bucket holds at most the bytes of one second. Callers may overdraw it; then no bytes are
 * free until the debt is refilled. Lock-free and thread-safe.
 */
public final class ByteBudget {

  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private final double bytesPerNano;
  private final AtomicLong usedUntilNanos;

  private ByteBudget(double bytesPerNano, long nowNanos) {
    this.bytesPerNano = bytesPerNano;
    this.usedUntilNanos = new AtomicLong(nowNanos - NANOS_PER_SECOND);
  }

  /**
   * Returns a full budget.
   *
   * @param bytesPerSecond the refill rate, greater than 0
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @throws IllegalArgumentException if the rate is not positive
   */
  public static ByteBudget of(double bytesPerSecond, long nowNanos) {
    if (!(bytesPerSecond > 0)) {
      throw new IllegalArgumentException("Rate must be positive: " + bytesPerSecond);
    }
    return new ByteBudget(bytesPerSecond / NANOS_PER_SECOND, nowNanos);
  }

  /** Returns the number of bytes that may be sent now. */
  public long availableBytes(long nowNanos) {
    long refilledNanos = Math.min(NANOS_PER_SECOND, nowNanos - usedUntilNanos.get());
    return Math.max(0, (long) (refilledNanos * bytesPerNano));
  }

  /** Removes sent bytes from the budget, even if that overdraws it. */
  public void consume(long nowNanos, long bytes) {
    long costNanos = (long) Math.ceil(bytes / bytesPerNano);
    long fullUntil = nowNanos - NANOS_PER_SECOND;
    usedUntilNanos.updateAndGet(
        usedUntil -> (usedUntil - fullUntil > 0 ? usedUntil : fullUntil) + costNanos);
  }
}
