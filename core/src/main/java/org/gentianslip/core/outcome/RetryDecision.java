package org.gentianslip.core.outcome;

/** Tells whether a request is sent again after an attempt. Safe for use by several threads. */
public enum RetryDecision {
  /** Send the request again, to another backend server if there is one. */
  RETRY,
  /** The attempt has completed. */
  STOP_COMPLETED,
  /** The request may have run and may not be repeated. */
  STOP_NOT_REPEATABLE,
  /** Part of the answer has reached the caller. */
  STOP_ANSWER_BEGUN,
  /** The deadline leaves no time. */
  STOP_DEADLINE,
  /** The greatest number of attempts has been made. */
  STOP_ATTEMPTS,
  /** Retries have used up their share of requests. */
  STOP_BUDGET;

  /** Returns whether the request is sent again. */
  public boolean isRetry() {
    return this == RETRY;
  }
}
