package org.gentianslip.core.outcome;

import java.util.Objects;

/**
 * Decides whether a request may be sent again.
 *
 * <p>A request that is not idempotent is sent again only if it is certain that it did not run. The
 * budget is checked last, so that a refusal for another reason does not use it up. Thread-safe.
 */
public final class RetryRule {

  private final int maxAttempts;
  private final long minRemainingNanos;
  private final RetryBudget budget;

  /**
   * Creates a rule.
   *
   * @param maxAttempts the maximum number of attempts at one request, at least 1
   * @param minRemainingNanos the minimum time that must be left before the deadline, in nanoseconds
   * @param budget the retry budget that all requests share
   * @throws IllegalArgumentException if a number is out of its range
   */
  public RetryRule(int maxAttempts, long minRemainingNanos, RetryBudget budget) {
    if (maxAttempts < 1) {
      throw new IllegalArgumentException(
          "Maximum number of attempts must be at least 1: " + maxAttempts);
    }
    if (minRemainingNanos < 0) {
      throw new IllegalArgumentException(
          "Minimum remaining time must not be negative: " + minRemainingNanos);
    }
    this.maxAttempts = maxAttempts;
    this.minRemainingNanos = minRemainingNanos;
    this.budget = Objects.requireNonNull(budget);
  }

  /**
   * Decides whether a request is sent again after an attempt, and removes a retry from the budget
   * if it is.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @param deadlineNanos when the answer is due, on the same clock
   * @param attempts the number of attempts made so far
   * @param idempotent whether the request may run more than once
   * @param answerBegun whether a byte of an answer was sent to the caller
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
    if (deadlineNanos - nowNanos < minRemainingNanos || deadlineNanos - nowNanos <= 0) {
      return RetryDecision.STOP_DEADLINE;
    }
    if (attempts >= maxAttempts) {
      return RetryDecision.STOP_ATTEMPTS;
    }
    return budget.tryTake() ? RetryDecision.RETRY : RetryDecision.STOP_BUDGET;
  }
}
