package org.gentianslip.core.fleet;

/**
 * What a data centre states about the requests of one service.
 *
 * <p>The time that a request waits and the cost of failures are kept apart, since failures do not
 * delay a request that is answered. Both values are finite and not negative. Immutable and
 * thread-safe.
 *
 * @param waitMillis the time before a server begins with one more request, in milliseconds
 * @param failureMillis the cost of recent failures, in milliseconds; it compares regions and never
 *     makes a request late
 */
public record ServiceWait(double waitMillis, double failureMillis) {

  /** The longest value that is believed, in milliseconds. */
  public static final double MAX_MILLIS = 60_000;

  /** The wait of a service that has servers, if nothing else is known. */
  public static final ServiceWait UNKNOWN = new ServiceWait(0, 0);

  /**
   * Checks the values.
   *
   * @throws IllegalArgumentException if a value is not between 0 and {@link #MAX_MILLIS}
   */
  public ServiceWait {
    if (!isValid(waitMillis) || !isValid(failureMillis)) {
      throw new IllegalArgumentException(
          "waitMillis and failureMillis must be from 0 to "
              + MAX_MILLIS
              + ": "
              + waitMillis
              + ", "
              + failureMillis);
    }
  }

  /** Returns whether a value may be believed. */
  public static boolean isValid(double millis) {
    return millis >= 0 && millis <= MAX_MILLIS;
  }

  /** Returns a wait of the given values, each of which is bounded to those that are valid. */
  public static ServiceWait bounded(double waitMillis, double failureMillis) {
    return new ServiceWait(bound(waitMillis), bound(failureMillis));
  }

  /** Returns the longer of both waits with the higher of both costs of failures. */
  static ServiceWait longer(ServiceWait one, ServiceWait other) {
    return new ServiceWait(
        Math.max(one.waitMillis, other.waitMillis),
        Math.max(one.failureMillis, other.failureMillis));
  }

  private static double bound(double millis) {
    return Math.max(0, Math.min(MAX_MILLIS, millis));
  }
}
