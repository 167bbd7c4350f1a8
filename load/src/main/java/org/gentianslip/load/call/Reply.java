package org.gentianslip.load.call;

import java.util.List;

/** The result of one exchange with an entry instance. Immutable and thread-safe. */
public sealed interface Reply {

  /**
   * The entry reported a complete answer.
   *
   * @param text the text of the model or the body of the service
   * @param servedRegion the region that served the call, or empty if the entry did not name one
   * @param timing when the parts of the answer arrived
   */
  record Answered(String text, String servedRegion, AnswerTiming timing) implements Reply {}

  /**
   * The call is known not to have run.
   *
   * @param code the error code, or {@code unreachable} if the request was not sent
   * @param detail a description of the failure
   * @param entries the entries to use instead, or empty if the reply names none
   */
  record NotRun(String code, String detail, List<EntryAddress> entries) implements Reply {}

  /**
   * The call did not run because it needs a ticket.
   *
   * @param ticket the ticket that the entry offers
   */
  record TicketRequired(String ticket) implements Reply {}

  /**
   * It is not known whether the call ran, or its answer was cut off.
   *
   * @param code the error code, or {@code broken} if the answer ended early
   * @param detail a description of the failure
   */
  record Unknown(String code, String detail) implements Reply {}
}
