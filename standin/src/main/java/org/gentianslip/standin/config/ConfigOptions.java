package org.gentianslip.standin.config;

import java.util.Map;

/**
 * The options of a {@link ConfigStandin}. Immutable.
 *
 * @param port the port to listen on, or 0 for a free one
 * @param callsPerSecond the calls of readers that are admitted in a second
 * @param lagMillisByPrefix for keys that begin with a prefix, how long a change stays invisible
 */
public record ConfigOptions(int port, int callsPerSecond, Map<String, Long> lagMillisByPrefix) {

  /** The calls that the platform's config service answers in a second. */
  public static final int DEFAULT_CALLS_PER_SECOND = 2000;

  /** Copies the map. */
  public ConfigOptions {
    lagMillisByPrefix = Map.copyOf(lagMillisByPrefix);
  }

  /** Returns the usual options with a free port. */
  public static ConfigOptions defaults() {
    return new ConfigOptions(0, DEFAULT_CALLS_PER_SECOND, Map.of());
  }

  /** Returns these options with another port. */
  public ConfigOptions withPort(int other) {
    return new ConfigOptions(other, callsPerSecond, lagMillisByPrefix);
  }

  /** Returns these options with another budget. */
  public ConfigOptions withCallsPerSecond(int other) {
    return new ConfigOptions(port, other, lagMillisByPrefix);
  }

  /** Returns these options with other lags. */
  public ConfigOptions withLagMillis(Map<String, Long> other) {
    return new ConfigOptions(port, callsPerSecond, other);
  }

  /** Returns the greatest lag in milliseconds that is set for a prefix of the key, or 0. */
  long lagMillis(String key) {
    long lag = 0;
    for (var entry : lagMillisByPrefix.entrySet()) {
      if (key.startsWith(entry.getKey())) {
        lag = Math.max(lag, entry.getValue());
      }
    }
    return lag;
  }
}
