package org.gentianslip.entry.caller;

import org.gentianslip.entry.http.ErrorReply;

/**
 * The result of checking whether a request is admitted. Immutable and safe for use by several
 * threads.
 */
public sealed interface Admission {

  /**
   * The request is admitted.
   *
   * @param settings the customer, the kind of work and the settings in force for them
   */
  record Admitted(RequestSettings settings) implements Admission {}

  /**
   * The request is refused.
   *
   * @param reply the error response
   */
  record Refused(ErrorReply reply) implements Admission {}
}
