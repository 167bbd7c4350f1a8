package org.gentianslip.core.customer;

import java.util.OptionalLong;

/**
 * The quota of a customer across all instances. Immutable and thread-safe.
 *
 * @param tokensPerSecond the sustained rate, in tokens per second, greater than 0
 * @param burstTokens the tokens allowed in addition to the rate, at least 0
 * @param plainTokens the tokens that a request without a stated number counts as, at least 0
 * @param byTokens whether requests count as their stated number of tokens; otherwise each request
 *     counts as one token
 */
public record Quota(
    double tokensPerSecond, double burstTokens, double plainTokens, boolean byTokens) {

  /**
   * Validates the components.
   *
   * @throws IllegalArgumentException if a number is out of its range or not finite
   */
  public Quota {
    if (!(tokensPerSecond > 0) || !Double.isFinite(tokensPerSecond)) {
      throw new IllegalArgumentException("Rate must be positive: " + tokensPerSecond);
    }
    if (!(burstTokens >= 0) || !Double.isFinite(burstTokens)) {
      throw new IllegalArgumentException("Burst must be at least 0: " + burstTokens);
    }
    if (!(plainTokens >= 0) || !Double.isFinite(plainTokens)) {
      throw new IllegalArgumentException("Plain tokens must be at least 0: " + plainTokens);
    }
  }

  /** Returns what a request counts as, by the tokens that it states. */
  public double costOf(OptionalLong statedTokens) {
    if (!byTokens) {
      return 1;
    }
    return statedTokens.isPresent() ? statedTokens.getAsLong() : plainTokens;
  }
}
