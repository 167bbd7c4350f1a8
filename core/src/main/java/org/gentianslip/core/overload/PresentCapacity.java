package org.gentianslip.core.overload;

import java.util.concurrent.TimeUnit;

/**
 * The capacity that an instance states to others: its size, or a part of it while it refuses
 * requests because of its processor, or passes them on to neighbours.
 *
 * <p>It falls by one step for each 500 ms of that without a break, and rises by one step for each
 * second without it, so it always returns to the size when no work is sent. Thread-safe.
 */
public final class PresentCapacity {

  private static final double[] STEPS = {1, 0.5, 0.25, 0.1};
  private static final long FALL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final long RISE_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final int size;
  private int step;
  private boolean refusing;
  private long sinceNanos;

  /**
   * Creates a full capacity.
   *
   * @param size the capacity without overload, in hundredths of a core, greater than 0
   */
  public PresentCapacity(int size) {
    if (size <= 0) {
      throw new IllegalArgumentException("size must be greater than 0: " + size);
    }
    this.size = size;
  }

  /** Returns the present capacity, in hundredths of a core, at least 1. */
  public synchronized int current() {
    return (int) Math.max(1, Math.round(size * STEPS[step]));
  }

  /**
   * Updates the capacity; must be called several times in 500 ms.
   *
   * @param nowRefusing whether requests are refused or passed on
   * @return whether the capacity has changed
   */
  public synchronized boolean update(long nowNanos, boolean nowRefusing) {
    if (nowRefusing != refusing) {
      refusing = nowRefusing;
      sinceNanos = nowNanos;
      return false;
    }
    int next = refusing ? Math.min(STEPS.length - 1, step + 1) : Math.max(0, step - 1);
    if (next == step || nowNanos - sinceNanos < (refusing ? FALL_NANOS : RISE_NANOS)) {
      return false;
    }
    step = next;
    sinceNanos = nowNanos;
    return true;
  }
}
