package org.gentianslip.entry.caller;

import org.gentianslip.entry.http.ErrorReply;

/** Tells whether a request may enter. Immutable and safe for use by several threads. */
public sealed interface Admission {

  /**
   * The request may enter.
   *
   * @param settings who sent it and the values in force
   */
  record Admitted(RequestSettings settings) implements Admission {}

  /**
   * The request is refused.
   *
   * @param reply the answer
   */
  record Refused(ErrorReply reply) implements Admission {}
}
