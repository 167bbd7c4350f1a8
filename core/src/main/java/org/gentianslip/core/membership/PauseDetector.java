package org.gentianslip.core.membership;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Tells from the gaps between regular ticks that the process stood still.
 *
 * <p>A tick tells the gap before it once; {@link #isStale} tells a gap that no tick has ended yet,
 * so a request's thread that wakes before the ticking one sees it too. Lock-free and safe for use
 * by several threads.
 */
public final class PauseDetector {

  private final long maxGapNanos;
  private final AtomicLong lastTickNanos;

  /**
   * Makes a detector.
   *
   * @param maxGapNanos the greatest gap between ticks that is no pause, in nanoseconds
   * @param nowNanos the present time, in nanoseconds of the monotonic clock
   * @throws IllegalArgumentException if the gap is not positive
   */
  public PauseDetector(long maxGapNanos, long nowNanos) {
    if (maxGapNanos <= 0) {
      throw new IllegalArgumentException("Gap must be positive: " + maxGapNanos);
    }
    this.maxGapNanos = maxGapNanos;
    this.lastTickNanos = new AtomicLong(nowNanos);
  }

  /**
   * Records a tick and returns whether a pause came before it.
   *
   * @param nowNanos the present time, in nanoseconds of the monotonic clock
   */
  public boolean tick(long nowNanos) {
    long last = lastTickNanos.getAndAccumulate(nowNanos, (a, b) -> b - a > 0 ? b : a);
    return nowNanos - last > maxGapNanos;
  }

  /**
   * Returns whether the process stood still since the last tick, so that no belief may be acted on.
   *
   * @param nowNanos the present time, in nanoseconds of the monotonic clock
   */
  public boolean isStale(long nowNanos) {
    return nowNanos - lastTickNanos.get() > maxGapNanos;
  }
}
