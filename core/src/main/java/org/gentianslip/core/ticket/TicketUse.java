package org.gentianslip.core.ticket;

import java.util.Objects;
import org.gentianslip.core.outcome.Outcome;
import org.gentianslip.core.outcome.UnknownReason;

/** The state of a used ticket. Immutable and thread-safe. */
public sealed interface TicketUse {

  /** Returns the known outcome of the call. */
  Outcome outcome();

  /** The call is in progress. */
  record InProgress() implements TicketUse {
    @Override
    public Outcome outcome() {
      return new Outcome.Unknown(UnknownReason.IN_PROGRESS);
    }
  }

  /**
   * The call has ended.
   *
   * @param outcome the final outcome of the call
   */
  record Ended(Outcome outcome) implements TicketUse {
    /** Validates the outcome. */
    public Ended {
      Objects.requireNonNull(outcome);
    }
  }
}
