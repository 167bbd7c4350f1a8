package org.gentianslip.core.ticket;

import java.util.Objects;
import org.gentianslip.core.outcome.Outcome;

/** Tells what became of a used ticket. Immutable and safe for use by several threads. */
public sealed interface TicketUse {

  /** The call is under way. */
  record InProgress() implements TicketUse {}

  /**
   * The call has ended.
   *
   * @param outcome its final outcome
   */
  record Ended(Outcome outcome) implements TicketUse {
    /** Checks the outcome. */
    public Ended {
      Objects.requireNonNull(outcome);
    }
  }
}
