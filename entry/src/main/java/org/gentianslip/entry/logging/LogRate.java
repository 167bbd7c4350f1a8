package org.gentianslip.entry.logging;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Bounds the log lines of each place in the code.
 *
 * <p>In no window of one second, counted from the first line of a place, does it admit more lines
 * of the place than its limit. Safe for use by several threads.
 */
final class LogRate {

  private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

  /**
   * Counts the lines of a place.
   *
   * @param startNanos when the window began, in nanoseconds of the monotonic clock
   * @param lines the lines in the window, with those that were not admitted
   */
  private record Window(long startNanos, int lines) {

    Window next(long nowNanos) {
      boolean over = nowNanos - startNanos >= WINDOW_NANOS;
      return over ? new Window(nowNanos, 1) : new Window(startNanos, lines + 1);
    }
  }

  private final Map<String, Window> windows = new ConcurrentHashMap<>();
  private volatile int limit;

  /**
   * Creates a bound.
   *
   * @param limit the greatest number of lines of a place in a window
   */
  LogRate(int limit) {
    setLimit(limit);
  }

  /**
   * Changes the bound.
   *
   * @throws IllegalArgumentException if {@code limit} is not positive
   */
  void setLimit(int limit) {
    if (limit < 1) {
      throw new IllegalArgumentException("The limit must be at least 1, but is " + limit);
    }
    this.limit = limit;
  }

  /** Returns whether a line of the place may be logged, and counts it. */
  boolean admits(long nowNanos, String place) {
    Window window =
        windows.compute(
            place, (p, old) -> old == null ? new Window(nowNanos, 1) : old.next(nowNanos));
    return window.lines() <= limit;
  }
}
