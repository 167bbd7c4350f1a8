package org.gentianslip.load.call;

import java.util.List;

/** What one exchange with an entry instance gave. Immutable and safe for use by several threads. */
public sealed interface Reply {

  /**
   * The entry says that the answer is complete.
   *
   * @param text the model's text or the service's body
   * @param servedRegion the region that ran the call, empty if the entry did not say
   * @param timing when the parts of the answer arrived
   */
  record Answered(String text, String servedRegion, Timing timing) implements Reply {}

  /**
   * The call did not run.
   *
   * @param code the error's code, or {@code unreachable} if no connection could be made
   * @param detail a sentence
   * @param entries the entries to use instead, empty if none was named
   */
  record NotRun(String code, String detail, List<EntryAddress> entries) implements Reply {}

  /**
   * The call did not run for lack of a ticket.
   *
   * @param ticket the ticket to use
   */
  record TicketNeeded(String ticket) implements Reply {}

  /**
   * Whether the call ran is not known, or its answer broke off.
   *
   * @param code the error's code, or {@code broken} if the exchange broke off
   * @param detail a sentence
   */
  record Unknown(String code, String detail) implements Reply {}
}
