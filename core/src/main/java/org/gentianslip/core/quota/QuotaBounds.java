package org.gentianslip.core.quota;

import java.util.concurrent.TimeUnit;
import org.gentianslip.core.customer.Quota;

/**
 * The tolerance within which quotas hold. Immutable and thread-safe.
 *
 * @param windowNanos the length of the window over which work is added up, in nanoseconds
 * @param ratio the tolerated excess, as a fraction of the allowance of a window
 * @param slackTokens the additional tolerated excess of a window, in tokens
 */
public record QuotaBounds(long windowNanos, double ratio, double slackTokens) {

  private static final long MIN_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long MAX_WINDOW_NANOS = TimeUnit.MINUTES.toNanos(10);
  private static final double NANOS_PER_SECOND = 1e9;

  /** The bounds of a deployment that states none. */
  public static final QuotaBounds DEFAULT = new QuotaBounds(TimeUnit.SECONDS.toNanos(8), 0, 0);

  /**
   * Validates the components.
   *
   * @throws IllegalArgumentException if the window is not from 1 s to 10 min, or another value is
   *     negative or not finite
   */
  public QuotaBounds {
    if (windowNanos < MIN_WINDOW_NANOS || windowNanos > MAX_WINDOW_NANOS) {
      throw new IllegalArgumentException("Window must be from 1 s to 10 min: " + windowNanos);
    }
    if (!(ratio >= 0 && slackTokens >= 0 && ratio + slackTokens < Double.POSITIVE_INFINITY)) {
      throw new IllegalArgumentException(
          "Tolerance must be finite and at least 0: " + ratio + ", " + slackTokens);
    }
  }

  /** Returns the tokens that a quota allows in a window. */
  public double allowance(Quota quota) {
    return quota.tokensPerSecond() * windowNanos / NANOS_PER_SECOND + quota.burstTokens();
  }

  /** Returns the tokens that must not be exceeded in any window. */
  public double ceiling(Quota quota) {
    return allowance(quota) * (1 + ratio) + slackTokens;
  }
}
