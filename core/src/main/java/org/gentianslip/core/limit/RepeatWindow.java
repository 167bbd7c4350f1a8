package org.gentianslip.core.limit;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the repeats of one service in a sliding window, for one of several instances.
 *
 * <p>In every window, the number of repeats is at most the given share of the requests in that
 * window plus this instance's portion of the extra repeats. Thread-safe.
 */
public final class RepeatWindow {

  private final long windowNanos;
  private final double share;
  private final Deque<Long> requests = new ArrayDeque<>();
  private final Deque<Long> repeats = new ArrayDeque<>();

  /**
   * Creates a window without requests.
   *
   * @param windowNanos the length of the window, in nanoseconds
   * @param share the number of repeats that are allowed per request
   */
  public RepeatWindow(long windowNanos, double share) {
    this.windowNanos = windowNanos;
    this.share = share;
  }

  /** Records a request. */
  public synchronized void recordRequest(long nowNanos) {
    dropExpired(requests, nowNanos);
    requests.addLast(nowNanos);
  }

  /**
   * Records one repeat if the window allows it.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @param extra this instance's portion of the extra repeats
   * @return whether the repeat is allowed
   */
  public synchronized boolean tryTake(long nowNanos, double extra) {
    dropExpired(requests, nowNanos);
    dropExpired(repeats, nowNanos);
    if (repeats.size() + 1 > share * requests.size() + extra) {
      return false;
    }
    repeats.addLast(nowNanos);
    return true;
  }

  private void dropExpired(Deque<Long> times, long nowNanos) {
    while (!times.isEmpty() && nowNanos - times.peekFirst() >= windowNanos) {
      times.removeFirst();
    }
  }
}
