package org.gentianslip.core.outcome;

import java.util.Objects;

/**
 * Tells whether a request ran at a backend server.
 *
 * <p>An outcome is final: {@link NotRun} is given only when the request did not run and the attempt
 * can no longer make it run. Immutable and safe for use by several threads.
 *
 * @see OutcomeRule
 */
public sealed interface Outcome {

  /** Returns the text of this outcome in the header {@code X-Outcome}. */
  String headerValue();

  /**
   * The backend server has answered in whole.
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
   * The request did not run and will not.
   *
   * @param reason how this is known
   */
  record NotRun(NotRunReason reason) implements Outcome {
    /** Checks the reason. */
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
   * @param reason why nothing better is known
   */
  record Unknown(UnknownReason reason) implements Outcome {
    /** Checks the reason. */
    public Unknown {
      Objects.requireNonNull(reason);
    }

    @Override
    public String headerValue() {
      return "unknown";
    }
  }
}
