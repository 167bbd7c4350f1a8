package org.gentianslip.core.outcome;

import java.util.Objects;

/**
 * Decides whether a request may be sent again.
 *
 * <p>A request that is not idempotent is sent again only after it was proven not to have run. The
 * budget is asked last, so that a refusal for another reason costs nothing. Safe for use by several
 * threads.
 */
public final class RetryRule {

  private final int maxAttempts;
  private final long leastUsefulNanos;
  private final RetryBudget budget;

  /**
   * Makes a rule.
   *
   * @param maxAttempts the greatest number of attempts at one request, at least 1
   * @param leastUsefulNanos the time that must be left before the deadline, in nanoseconds
   * @param budget the budget that all requests share
   * @throws IllegalArgumentException if a number is out of its range
   */
  public RetryRule(int maxAttempts, long leastUsefulNanos, RetryBudget budget) {
    if (maxAttempts < 1) {
      throw new IllegalArgumentException("Attempts must be at least 1: " + maxAttempts);
    }
    if (leastUsefulNanos < 0) {
      throw new IllegalArgumentException("Time must not be negative: " + leastUsefulNanos);
    }
    this.maxAttempts = maxAttempts;
    this.leastUsefulNanos = leastUsefulNanos;
    this.budget = Objects.requireNonNull(budget);
  }

  /**
   * Decides what follows an attempt and takes a retry from the budget if one is granted.
   *
   * @param nowNanos the present time, in nanoseconds of the monotonic clock
   * @param deadlineNanos when the answer must be out, on the same clock
   * @param attempts the attempts made so far
   * @param idempotent whether the request may run more than once
   * @param answerBegun whether a byte of an answer has reached the caller
   * @param outcome the outcome of the last attempt
   */
  public RetryDecision decide(
      long nowNanos,
      long deadlineNanos,
      int attempts,
      boolean idempotent,
      boolean answerBegun,
      Outcome outcome) {
    if (outcome instanceof Outcome.Completed) {
      return RetryDecision.STOP_COMPLETED;
    }
    if (outcome instanceof Outcome.Unknown && !idempotent) {
      return RetryDecision.STOP_NOT_REPEATABLE;
    }
    if (answerBegun) {
      return RetryDecision.STOP_ANSWER_BEGUN;
    }
    if (deadlineNanos - nowNanos < leastUsefulNanos || deadlineNanos - nowNanos <= 0) {
      return RetryDecision.STOP_DEADLINE;
    }
    if (attempts >= maxAttempts) {
      return RetryDecision.STOP_ATTEMPTS;
    }
    return budget.tryTake() ? RetryDecision.RETRY : RetryDecision.STOP_BUDGET;
  }
}
