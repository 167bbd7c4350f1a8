package org.gentianslip.standin.service;

/**
 * The options of a {@link ServiceStandin}. Immutable.
 *
 * @param port the port to listen on, or 0 for a free one
 * @param id the id of the backend server
 * @param service the service that it provides
 * @param latencyMillis the time from the arrival of a call to its execution, in milliseconds
 */
public record ServiceOptions(int port, String id, String service, long latencyMillis) {

  /** The default time from the arrival of a call to its execution, in milliseconds. */
  public static final long DEFAULT_LATENCY_MILLIS = 2;

  /**
   * Checks the options.
   *
   * @throws IllegalArgumentException if {@code latencyMillis} is negative
   */
  public ServiceOptions {
    if (latencyMillis < 0) {
      throw new IllegalArgumentException("latencyMillis must not be negative: " + latencyMillis);
    }
  }

  /** Returns the default options with a free port. */
  public static ServiceOptions of(String id, String service) {
    return new ServiceOptions(0, id, service, DEFAULT_LATENCY_MILLIS);
  }

  /** Returns these options with another port. */
  public ServiceOptions withPort(int newPort) {
    return new ServiceOptions(newPort, id, service, latencyMillis);
  }
}
