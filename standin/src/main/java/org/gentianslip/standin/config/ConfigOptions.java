package org.gentianslip.standin.config;

import java.util.Map;

/**
 * The options of a {@link ConfigStandin}. Immutable.
 *
 * @param port the port to listen on, or 0 for a free one
 * @param callsPerSecond the maximum number of read calls per second
 * @param lagMillisByPrefix by key prefix, the time for which a change stays invisible, in
 *     milliseconds
 */
public record ConfigOptions(int port, int callsPerSecond, Map<String, Long> lagMillisByPrefix) {

  /** The rate limit of the platform's config service, in calls per second. */
  public static final int DEFAULT_CALLS_PER_SECOND = 2000;

  /** Copies the map. */
  public ConfigOptions {
    lagMillisByPrefix = Map.copyOf(lagMillisByPrefix);
  }

  /** Returns the default options with a free port. */
  public static ConfigOptions defaults() {
    return new ConfigOptions(0, DEFAULT_CALLS_PER_SECOND, Map.of());
  }

  /** Returns these options with another port. */
  public ConfigOptions withPort(int newPort) {
    return new ConfigOptions(newPort, callsPerSecond, lagMillisByPrefix);
  }

  /** Returns these options with another rate limit. */
  public ConfigOptions withCallsPerSecond(int newCallsPerSecond) {
    return new ConfigOptions(port, newCallsPerSecond, lagMillisByPrefix);
  }

  /** Returns these options with other lags. */
  public ConfigOptions withLagMillis(Map<String, Long> newLagMillisByPrefix) {
    return new ConfigOptions(port, callsPerSecond, newLagMillisByPrefix);
  }

  /** Returns the largest lag among all prefixes of the key, in milliseconds, or 0. */
  long lagMillis(String key) {
    long maxLagMillis = 0;
    for (var entry : lagMillisByPrefix.entrySet()) {
      if (key.startsWith(entry.getKey())) {
        maxLagMillis = Math.max(maxLagMillis, entry.getValue());
      }
    }
    return maxLagMillis;
  }
}
