package org.gentianslip.core.membership;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Detects pauses of the process, such as those of a suspended virtual machine, from gaps between
 * regular ticks.
 *
 * <p>{@link #tick} reports each pause once, at the first tick after it. {@link #isStale} also
 * detects a pause that no tick has ended yet, so that request threads that resume before the
 * ticking thread detect it too. Lock-free and thread-safe.
 */
public final class PauseDetector {

  private final long maxGapNanos;
  private final AtomicLong lastTickNanos;

  /**
   * Creates a detector.
   *
   * @param maxGapNanos the maximum gap between ticks that is not a pause, in nanoseconds
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @throws IllegalArgumentException if {@code maxGapNanos} is not positive
   */
  public PauseDetector(long maxGapNanos, long nowNanos) {
    if (maxGapNanos <= 0) {
      throw new IllegalArgumentException("Maximum gap must be positive: " + maxGapNanos);
    }
    this.maxGapNanos = maxGapNanos;
    this.lastTickNanos = new AtomicLong(nowNanos);
  }

  /**
   * Records a tick and returns whether a pause preceded it.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   */
  public boolean tick(long nowNanos) {
    long previousNanos = lastTickNanos.getAndAccumulate(nowNanos, (a, b) -> b - a > 0 ? b : a);
    return nowNanos - previousNanos > maxGapNanos;
  }

  /**
   * Returns whether the process has paused since the last tick, so that its beliefs are out of
   * date.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   */
  public boolean isStale(long nowNanos) {
    return nowNanos - lastTickNanos.get() > maxGapNanos;
  }
}
