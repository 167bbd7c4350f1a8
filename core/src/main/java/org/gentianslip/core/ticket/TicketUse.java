package org.gentianslip.core.ticket;

import java.util.Objects;
import org.gentianslip.core.outcome.Outcome;
import org.gentianslip.core.outcome.UnknownReason;

/** Tells what became of a used ticket. Immutable and safe for use by several threads. */
public sealed interface TicketUse {

  /** Returns what is known of the call. */
  Outcome outcome();

  /** The call is under way. */
  record InProgress() implements TicketUse {
    @Override
    public Outcome outcome() {
      return new Outcome.Unknown(UnknownReason.IN_PROGRESS);
    }
  }

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
