package org.gentianslip.entry.gateway;

import org.gentianslip.core.route.Route;

/** Decides after which silence a request is tried elsewhere. Stateless. */
final class SilenceTimeout {

  /** The least silence: more than a plain service takes, in milliseconds. */
  private static final long LEAST_MILLIS = 250;

  /** The least silence of a stream: more than some steps of a busy engine, in milliseconds. */
  private static final long LEAST_STREAM_MILLIS = 1_500;

  /** The silence in multiples of what was expected. */
  private static final double FACTOR = 3;

  private SilenceTimeout() {}

  /**
   * Returns the bound, in milliseconds.
   *
   * @param expectedMillis the time that was expected until the first part of the answer
   */
  static long millis(Route route, double expectedMillis) {
    long least = route.streaming() ? LEAST_STREAM_MILLIS : LEAST_MILLIS;
    long wanted = Math.max(least, (long) (FACTOR * expectedMillis));
    return Math.min(wanted, route.objectiveMillis() + least);
  }
}
