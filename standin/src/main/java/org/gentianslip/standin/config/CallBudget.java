package org.gentianslip.standin.config;

/**
 * Counts calls and refuses those above a number in each second.
 *
 * <p>In any one second of its clock it admits at most {@code callsPerSecond} calls. Safe for use by
 * several threads.
 */
final class CallBudget {

  private static final long WINDOW_NANOS = 1_000_000_000L;

  private final int callsPerSecond;
  private long windowStart = Long.MIN_VALUE;
  private int inWindow;
  private long admitted;
  private long refused;
  private int peak;

  CallBudget(int callsPerSecond) {
    if (callsPerSecond < 1) {
      throw new IllegalArgumentException("callsPerSecond must be at least 1: " + callsPerSecond);
    }
    this.callsPerSecond = callsPerSecond;
  }

  synchronized boolean tryTake(long nowNanos) {
    long start = Math.floorDiv(nowNanos, WINDOW_NANOS);
    if (start != windowStart) {
      windowStart = start;
      inWindow = 0;
    }
    if (inWindow >= callsPerSecond) {
      refused++;
      return false;
    }
    inWindow++;
    admitted++;
    peak = Math.max(peak, inWindow);
    return true;
  }

  synchronized CallCounts counts(int waiting) {
    return new CallCounts(admitted, refused, peak, waiting);
  }
}
