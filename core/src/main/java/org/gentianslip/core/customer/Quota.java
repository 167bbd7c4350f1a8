package org.gentianslip.core.customer;

import java.util.OptionalLong;

/**
 * The work that a customer may request from all instances together. Immutable and thread-safe.
 *
 * @param tokensPerSecond the tokens per second; 0 if there is no limit
 * @param burstTokens the tokens allowed in addition in any window
 * @param plainTokens the tokens of a request that states none
 * @param countsTokens whether requests count as their tokens; otherwise each counts as 1
 */
public record Quota(
    double tokensPerSecond, double burstTokens, long plainTokens, boolean countsTokens) {

  /** The quota of a customer without a limit. */
  public static final Quota UNLIMITED = new Quota(0, 0, 0, true);

  /**
   * Validates the components.
   *
   * @throws IllegalArgumentException if a number is negative or not finite
   */
  public Quota {
    requireAmount("Tokens per second", tokensPerSecond);
    requireAmount("Burst", burstTokens);
    requireAmount("Plain tokens", plainTokens);
  }

  private static void requireAmount(String name, double value) {
    if (!(value >= 0 && value < Double.POSITIVE_INFINITY)) {
      throw new IllegalArgumentException(name + " must be finite and at least 0: " + value);
    }
  }

  /** Returns whether there is a limit. */
  public boolean limited() {
    return tokensPerSecond > 0;
  }

  /** Returns what a request counts as, by the tokens that it states. */
  public double costOf(OptionalLong statedTokens) {
    return countsTokens ? statedTokens.orElse(plainTokens) : 1;
  }
}
