package org.gentianslip.core.quota;

import java.util.concurrent.TimeUnit;

/**
 * Tokens by time, kept in buckets for a limited time. Confined to its owner's lock.
 *
 * <p>A bucket that is partly older than asked for counts whole, so that sums are never too low.
 */
final class SlidingTokens {

  static final long BUCKET_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final long[] indices;
  private final double[] tokens;

  /** Creates an empty object that keeps at least the given time. */
  SlidingTokens(long keptNanos) {
    int size = (int) (keptNanos / BUCKET_NANOS) + 2;
    indices = new long[size];
    tokens = new double[size];
  }

  private static long index(long nanos) {
    return Math.floorDiv(nanos, BUCKET_NANOS);
  }

  private int slot(long index) {
    return (int) Math.floorMod(index, (long) indices.length);
  }

  void add(long atNanos, double amount) {
    long index = index(atNanos);
    int slot = slot(index);
    if (indices[slot] != index) {
      indices[slot] = index;
      tokens[slot] = 0;
    }
    tokens[slot] += amount;
  }

  /** Takes back tokens added at a past time, unless that time is no longer kept. */
  void remove(long atNanos, double amount) {
    long index = index(atNanos);
    int slot = slot(index);
    if (indices[slot] == index) {
      tokens[slot] = Math.max(0, tokens[slot] - amount);
    }
  }

  /** Returns the tokens added in the given time before now. */
  double last(long nowNanos, long nanos) {
    long first = index(nowNanos - nanos);
    long last = index(nowNanos);
    double sum = 0;
    for (int i = 0; i < indices.length; i++) {
      if (indices[i] >= first && indices[i] <= last) {
        sum += tokens[i];
      }
    }
    return sum;
  }
}
