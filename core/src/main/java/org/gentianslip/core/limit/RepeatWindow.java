package org.gentianslip.core.limit;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Bounds the repeats of one service in a sliding window, for one of several instances.
 *
 * <p>In every window the repeats are at most the share of the requests counted in that window plus
 * this instance's part of the extra repeats. Safe for use by several threads.
 */
public final class RepeatWindow {

  private final long windowNanos;
  private final double share;
  private final Deque<Long> requests = new ArrayDeque<>();
  private final Deque<Long> repeats = new ArrayDeque<>();

  /**
   * Creates a window without requests.
   *
   * @param windowNanos its length, in nanoseconds
   * @param share the repeats allowed for each request
   */
  public RepeatWindow(long windowNanos, double share) {
    this.windowNanos = windowNanos;
    this.share = share;
  }

  /** Counts a request. */
  public synchronized void request(long nowNanos) {
    drop(requests, nowNanos);
    requests.addLast(nowNanos);
  }

  /**
   * Takes one repeat if the window allows it.
   *
   * @param extra this instance's part of the extra repeats
   */
  public synchronized boolean tryTake(long nowNanos, double extra) {
    drop(requests, nowNanos);
    drop(repeats, nowNanos);
    if (repeats.size() + 1 > share * requests.size() + extra) {
      return false;
    }
    repeats.addLast(nowNanos);
    return true;
  }

  private void drop(Deque<Long> times, long nowNanos) {
    while (!times.isEmpty() && nowNanos - times.peekFirst() >= windowNanos) {
      times.removeFirst();
    }
  }
}
