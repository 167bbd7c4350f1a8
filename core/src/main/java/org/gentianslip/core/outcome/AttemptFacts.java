package org.gentianslip.core.outcome;

/**
 * The facts that are known so far about one attempt to run a request.
 *
 * <p>Facts are only added, never removed. Immutable and thread-safe.
 *
 * @param writeBegun whether a byte of the request may have been written to the connection
 * @param expired whether the permission to write had expired before the first byte
 * @param status the status code of the answer, or 0 until its headers are read
 * @param notStarted whether the answer has the header {@code X-Not-Started: true}
 * @param answerComplete whether the answer's body was read completely
 */
public record AttemptFacts(
    boolean writeBegun, boolean expired, int status, boolean notStarted, boolean answerComplete) {

  /** The facts of an attempt that has not begun. */
  public static final AttemptFacts NONE = new AttemptFacts(false, false, 0, false, false);

  AttemptFacts withWriteBegun() {
    return new AttemptFacts(true, expired, status, notStarted, answerComplete);
  }

  AttemptFacts withExpired() {
    return new AttemptFacts(writeBegun, true, status, notStarted, answerComplete);
  }

  AttemptFacts withHeaders(int newStatus, boolean newNotStarted) {
    return new AttemptFacts(writeBegun, expired, newStatus, newNotStarted, answerComplete);
  }

  AttemptFacts withCompleteAnswer() {
    return new AttemptFacts(writeBegun, expired, status, notStarted, true);
  }
}
