package org.gentianslip.entry.gateway;

import org.gentianslip.core.route.Route;

/** Computes after how long without data an attempt counts as silent. Stateless. */
final class SilenceTimeout {

  /** The minimum timeout in milliseconds, which is longer than a plain service takes. */
  private static final long MIN_MILLIS = 250;

  /** The minimum timeout of streams in milliseconds, longer than several steps of a busy engine. */
  private static final long MIN_STREAM_MILLIS = 1_500;

  /** The timeout as a multiple of the expected time. */
  private static final double EXPECTED_TIME_FACTOR = 3;

  private SilenceTimeout() {}

  /**
   * Returns the timeout, in milliseconds.
   *
   * @param expectedMillis the expected time to the first part of the response, in milliseconds
   */
  static long millis(Route route, double expectedMillis) {
    long minMillis = route.streaming() ? MIN_STREAM_MILLIS : MIN_MILLIS;
    long scaledMillis = Math.max(minMillis, (long) (EXPECTED_TIME_FACTOR * expectedMillis));
    return Math.min(scaledMillis, route.objectiveMillis() + minMillis);
  }
}
