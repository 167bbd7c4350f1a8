package org.gentianslip.entry.logging;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Limits the rate of log lines of each call site, which is a class and a method.
 *
 * <p>A window of one second starts with the first line of a call site. No more lines of the call
 * site than the limit are admitted in the window. Safe for use by several threads.
 */
final class LogRateLimiter {

  private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

  /**
   * The number of lines of a call site in a window.
   *
   * @param startNanos when the window began, in nanoseconds of the monotonic clock
   * @param lines the lines in the window, including those that were not admitted
   */
  private record Window(long startNanos, int lines) {

    Window next(long nowNanos) {
      boolean expired = nowNanos - startNanos >= WINDOW_NANOS;
      return expired ? new Window(nowNanos, 1) : new Window(startNanos, lines + 1);
    }
  }

  private final Map<String, Window> windows = new ConcurrentHashMap<>();
  private volatile int limit;

  /**
   * Creates a limiter.
   *
   * @param limit the maximum number of lines of a call site in a window
   */
  LogRateLimiter(int limit) {
    setLimit(limit);
  }

  /**
   * Changes the limit.
   *
   * @param limit the maximum number of lines of a call site in a window
   * @throws IllegalArgumentException if {@code limit} is not positive
   */
  void setLimit(int limit) {
    if (limit < 1) {
      throw new IllegalArgumentException("The limit must be at least 1, but is " + limit);
    }
    this.limit = limit;
  }

  /** Counts a line of the call site and returns whether it may be logged. */
  boolean admits(long nowNanos, String callSite) {
    Window window =
        windows.compute(
            callSite,
            (site, previous) ->
                previous == null ? new Window(nowNanos, 1) : previous.next(nowNanos));
    return window.lines() <= limit;
  }
}
