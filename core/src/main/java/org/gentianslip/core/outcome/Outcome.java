package org.gentianslip.core.outcome;

import java.util.Objects;

/**
 * The outcome of a request: whether it ran at a backend server.
 *
 * <p>An outcome is final: {@link NotRun} is returned only if the request did not run and the
 * attempt can no longer make it run. Immutable and thread-safe.
 *
 * @see OutcomeRule
 */
public sealed interface Outcome {

  /** Returns the value of the header {@code X-Outcome} for this outcome. */
  String headerValue();

  /**
   * The backend server has answered completely.
   *
   * @param status the status code of its answer
   */
  record Completed(int status) implements Outcome {
    @Override
    public String headerValue() {
      return "completed";
    }
  }

  /**
   * The request did not run and will not run.
   *
   * @param reason the reason why this is certain
   */
  record NotRun(NotRunReason reason) implements Outcome {
    /** Validates the reason. */
    public NotRun {
      Objects.requireNonNull(reason);
    }

    @Override
    public String headerValue() {
      return "not-run";
    }
  }

  /**
   * The request may have run.
   *
   * @param reason the reason why the outcome is unknown
   */
  record Unknown(UnknownReason reason) implements Outcome {
    /** Validates the reason. */
    public Unknown {
      Objects.requireNonNull(reason);
    }

    @Override
    public String headerValue() {
      return "unknown";
    }
  }
}
