package org.gentianslip.core.stream;

/**
 * What is known besides the answer to a call when a decision about a silent run is taken.
 *
 * @param heardNanos when the engine last sent anything on any connection, in nanoseconds of the
 *     monotonic clock
 * @param writtenNanos when the engine last sent anything on the connection of the stream, in
 *     nanoseconds of the monotonic clock
 * @param callKnown whether the service's engines are known to answer calls for their runs
 * @param remainingMillis how long the caller still waits, in milliseconds
 * @param attemptMillis the expected time of one more attempt elsewhere, in milliseconds; negative
 *     if none is possible
 * @param silenceMillis the time without data after which a stream counts as silent, in milliseconds
 */
public record RunFacts(
    long heardNanos,
    long writtenNanos,
    boolean callKnown,
    long remainingMillis,
    double attemptMillis,
    long silenceMillis) {

  /** The margin for the end of the first run and the choice of the next target. */
  private static final double MARGIN_MILLIS = 800;

  /** Returns whether an attempt elsewhere is possible. */
  public boolean canMove() {
    return attemptMillis >= 0;
  }

  /**
   * Returns how long it takes until the time left allows only one more attempt elsewhere, in
   * milliseconds; negative if that has passed.
   */
  public double spareMillis() {
    return remainingMillis - attemptMillis - MARGIN_MILLIS;
  }
}
