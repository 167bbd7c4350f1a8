package org.gentianslip.core.outcome;

/** The decision whether a request is sent again after an attempt. Thread-safe. */
public enum RetryDecision {
  /** The request is sent again, to another backend server if possible. */
  RETRY,
  /** The attempt has completed. */
  STOP_COMPLETED,
  /** The request may have run and must not be repeated. */
  STOP_NOT_REPEATABLE,
  /** Part of the answer has reached the caller. */
  STOP_ANSWER_BEGUN,
  /** Too little time is left before the deadline. */
  STOP_DEADLINE,
  /** The maximum number of attempts has been made. */
  STOP_ATTEMPTS,
  /** Retries have used up their share of requests. */
  STOP_BUDGET;

  /** Returns whether the request is sent again. */
  public boolean isRetry() {
    return this == RETRY;
  }
}
