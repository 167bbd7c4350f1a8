package org.gentianslip.core.shutdown;

import java.util.concurrent.TimeUnit;

/**
 * The times of a planned stop, and which requests are still sent to a target during it.
 *
 * <p>A request whose own time limit ends within the time left is always sent. Any other request is
 * sent only if a multiple of its expected time is left, and a stream only while callers are still
 * expected to come. Immutable and thread-safe.
 *
 * @param startNanos when the stop began, in nanoseconds of the monotonic clock
 * @param graceMillis the time from the beginning of the stop to the end of the process, in
 *     milliseconds
 */
public record ShutdownPlan(long startNanos, long graceMillis) {

  /** The share of the grace period in which streams of uncertain length are begun. */
  private static final double STREAM_SHARE = 0.35;

  /** The share of the grace period in which requests are accepted. */
  private static final double ACCEPT_SHARE = 0.75;

  /** The share of the grace period after which unfinished requests get their final responses. */
  private static final double ANSWER_SHARE = 0.93;

  /** The share of the grace period after which the process ends in any case. */
  private static final double CLOSE_SHARE = 0.97;

  /** The multiple of its expected time that a request that runs at most once must have left. */
  private static final double ONCE_FACTOR = 4;

  /** The multiple of its expected time that a request that may be repeated must have left. */
  private static final double REPEATABLE_FACTOR = 2;

  /** Returns when requests are no longer accepted, in nanoseconds of the monotonic clock. */
  public long acceptEndNanos() {
    return at(ACCEPT_SHARE);
  }

  /** Returns when unfinished requests get their final responses, in nanoseconds. */
  public long answerNanos() {
    return at(ANSWER_SHARE);
  }

  /** Returns when everything is closed in any case, in nanoseconds of the monotonic clock. */
  public long closeNanos() {
    return at(CLOSE_SHARE);
  }

  private long at(double share) {
    return startNanos + (long) (share * TimeUnit.MILLISECONDS.toNanos(graceMillis));
  }

  /**
   * Returns whether a request may be sent to a target.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @param time how long the request may take there
   */
  public boolean maySend(long nowNanos, RequestTime time) {
    long leftMillis = TimeUnit.NANOSECONDS.toMillis(answerNanos() - nowNanos);
    if (time.limitMillis() <= leftMillis) {
      return true;
    }
    if (time.streaming() && nowNanos - at(STREAM_SHARE) >= 0) {
      return false;
    }
    double factor = time.repeatable() ? REPEATABLE_FACTOR : ONCE_FACTOR;
    return time.expectedMillis() * factor <= leftMillis;
  }
}
