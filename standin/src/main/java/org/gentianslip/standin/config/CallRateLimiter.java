package org.gentianslip.standin.config;

/**
 * Limits the rate of calls with fixed windows of one second, and counts the calls.
 *
 * <p>It admits at most {@code callsPerSecond} calls in each window. Safe for use by several
 * threads.
 */
final class CallRateLimiter {

  private static final long WINDOW_NANOS = 1_000_000_000L;

  private final int callsPerSecond;
  private long windowIndex = Long.MIN_VALUE;
  private int admittedInWindow;
  private long admitted;
  private long refused;
  private int peakPerSecond;

  CallRateLimiter(int callsPerSecond) {
    if (callsPerSecond < 1) {
      throw new IllegalArgumentException("callsPerSecond must be at least 1: " + callsPerSecond);
    }
    this.callsPerSecond = callsPerSecond;
  }

  synchronized boolean tryAcquire(long nowNanos) {
    long currentWindowIndex = Math.floorDiv(nowNanos, WINDOW_NANOS);
    if (currentWindowIndex != windowIndex) {
      windowIndex = currentWindowIndex;
      admittedInWindow = 0;
    }
    if (admittedInWindow >= callsPerSecond) {
      refused++;
      return false;
    }
    admittedInWindow++;
    admitted++;
    peakPerSecond = Math.max(peakPerSecond, admittedInWindow);
    return true;
  }

  synchronized CallCounts counts(int waitingWatches) {
    return new CallCounts(admitted, refused, peakPerSecond, waitingWatches);
  }
}
