package org.gentianslip.entry.relay;

import okhttp3.Response;
import org.gentianslip.core.outcome.AttemptJournal;
import org.gentianslip.core.outcome.Outcome;

/** Tells how an attempt to start an exchange ended. Immutable. */
public sealed interface UpstreamResult {

  /**
   * The other side answers; the receiver of this result closes the response.
   *
   * @param response the answer, whose body was not read
   * @param journal the facts of the attempt, to be closed when the body was read
   */
  record Answer(Response response, AttemptJournal journal) implements UpstreamResult {}

  /**
   * The other side refused before the start, by its documented answer.
   *
   * @param code the code of its refusal
   * @param outcome what the refusal proves; a backend server proves only by status 503 that it did
   *     not start
   */
  record Refused(String code, Outcome outcome) implements UpstreamResult {}

  /**
   * The exchange gave no answer.
   *
   * @param outcome what is known of the execution
   * @param message why
   */
  record Failed(Outcome outcome, String message) implements UpstreamResult {}
}
