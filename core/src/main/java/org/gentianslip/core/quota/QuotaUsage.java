package org.gentianslip.core.quota;

/**
 * What one or more instances report of a customer. Immutable and thread-safe.
 *
 * @param windowTokens the tokens admitted in the last window
 * @param requestedPerSecond the tokens requested per second lately, admitted or refused
 */
public record QuotaUsage(double windowTokens, double requestedPerSecond) {

  /** No usage. */
  public static final QuotaUsage NONE = new QuotaUsage(0, 0);

  /** Returns whether both numbers are possible, as a message may state any. */
  public static boolean isValid(double windowTokens, double requestedPerSecond) {
    return windowTokens >= 0
        && requestedPerSecond >= 0
        && windowTokens + requestedPerSecond < Double.POSITIVE_INFINITY;
  }

  /**
   * Validates the components.
   *
   * @throws IllegalArgumentException if a number is negative or not finite
   */
  public QuotaUsage {
    if (!isValid(windowTokens, requestedPerSecond)) {
      throw new IllegalArgumentException(
          "Usage must be finite and at least 0: " + windowTokens + ", " + requestedPerSecond);
    }
  }

  /** Returns the sum of this usage and another one. */
  public QuotaUsage plus(QuotaUsage other) {
    return new QuotaUsage(
        windowTokens + other.windowTokens, requestedPerSecond + other.requestedPerSecond);
  }

  /** Returns this usage times a factor. */
  QuotaUsage times(double factor) {
    return new QuotaUsage(windowTokens * factor, requestedPerSecond * factor);
  }

  /** Returns this usage less a part of it, at least 0. */
  QuotaUsage minus(QuotaUsage part) {
    return new QuotaUsage(
        Math.max(0, windowTokens - part.windowTokens),
        Math.max(0, requestedPerSecond - part.requestedPerSecond));
  }

  /** Returns the greater of each number of this usage and another one. */
  QuotaUsage max(QuotaUsage other) {
    return new QuotaUsage(
        Math.max(windowTokens, other.windowTokens),
        Math.max(requestedPerSecond, other.requestedPerSecond));
  }

  /** Returns whether there is anything to report. */
  public boolean isNone() {
    return windowTokens == 0 && requestedPerSecond == 0;
  }
}
