package org.gentianslip.core.limit;

import java.util.concurrent.atomic.AtomicLong;

/** Bounds the bytes that are buffered for all responses together. Lock-free and thread-safe. */
public final class BufferQuota {

  private final long maxBytes;
  private final AtomicLong usedBytes = new AtomicLong();

  private BufferQuota(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Returns an unused quota.
   *
   * @throws IllegalArgumentException if the number of bytes is not positive
   */
  public static BufferQuota of(long maxBytes) {
    if (maxBytes <= 0) {
      throw new IllegalArgumentException("quota must be positive: " + maxBytes);
    }
    return new BufferQuota(maxBytes);
  }

  /** Takes bytes if that many are left, and returns whether they were. */
  public boolean tryTake(long bytes) {
    if (usedBytes.addAndGet(bytes) <= maxBytes) {
      return true;
    }
    usedBytes.addAndGet(-bytes);
    return false;
  }

  /** Takes bytes even if that many are not left. */
  public void take(long bytes) {
    usedBytes.addAndGet(bytes);
  }

  /** Returns bytes that were taken. */
  public void giveBack(long bytes) {
    usedBytes.addAndGet(-bytes);
  }
}
