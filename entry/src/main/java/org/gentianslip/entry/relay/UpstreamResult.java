package org.gentianslip.entry.relay;

import okhttp3.Response;
import org.gentianslip.core.outcome.AttemptJournal;
import org.gentianslip.core.outcome.Outcome;

/** The result of a request to a backend server or a peer. Immutable. */
public sealed interface UpstreamResult {

  /**
   * A response has begun; the receiver of this result closes it.
   *
   * @param response the response, whose body has not been read
   * @param journal the record of the attempt, to be closed after the body has been read
   */
  record Responded(Response response, AttemptJournal journal) implements UpstreamResult {}

  /**
   * The backend server or peer refused the request before starting it, as its response states.
   *
   * @param code the error code of the refusal
   * @param outcome the outcome that the refusal proves; only a refusal with status 503 proves that
   *     the request was not started
   */
  record Refused(String code, Outcome outcome) implements UpstreamResult {}

  /**
   * The request received no response.
   *
   * @param outcome what is known about the execution
   * @param message the cause
   */
  record Failed(Outcome outcome, String message) implements UpstreamResult {}
}
