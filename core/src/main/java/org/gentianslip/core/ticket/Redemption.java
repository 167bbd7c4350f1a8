package org.gentianslip.core.ticket;

import java.util.Objects;
import org.gentianslip.core.id.Incarnation;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.outcome.NotRunReason;
import org.gentianslip.core.outcome.Outcome;
import org.gentianslip.core.outcome.UnknownReason;

/** Answers an attempt to use a ticket. Immutable and safe for use by several threads. */
public sealed interface Redemption {

  /**
   * Grants the call; given at most once for a ticket.
   *
   * @param ticket the ticket, to be handed to {@link TicketLedger#complete} when the call has ended
   */
  record Execute(Ticket ticket) implements Redemption {}

  /** Refuses the call. */
  sealed interface Refusal extends Redemption {

    /**
     * Returns what is known of the call.
     *
     * <p>{@link Outcome.NotRun} means that the call never ran under this ticket and never will, so
     * that the caller may repeat it under a new one.
     */
    Outcome outcome();
  }

  /**
   * Refuses the call, since the ticket was used or withdrawn before.
   *
   * @param use what became of it
   */
  record AlreadyUsed(TicketUse use) implements Refusal {
    /** Checks the use. */
    public AlreadyUsed {
      Objects.requireNonNull(use);
    }

    @Override
    public Outcome outcome() {
      return use.outcome();
    }
  }

  /**
   * Refuses the call, since the ticket's time is over.
   *
   * @param neverUsed whether the ticket certainly was never used and never will be; if false, it
   *     may have been used and forgotten since
   */
  record Expired(boolean neverUsed) implements Refusal {
    @Override
    public Outcome outcome() {
      return neverUsed
          ? new Outcome.NotRun(NotRunReason.EXPIRED_UNUSED)
          : new Outcome.Unknown(UnknownReason.FORGOTTEN);
    }
  }

  /**
   * Refuses the call, since another incarnation minted the ticket.
   *
   * @param owner the instance that the ticket names
   * @param incarnation the life of that instance
   * @see ForeignTicketRule
   */
  record Foreign(InstanceId owner, Incarnation incarnation) implements Refusal {
    /** Checks the parts. */
    public Foreign {
      Objects.requireNonNull(owner);
      Objects.requireNonNull(incarnation);
    }

    @Override
    public Outcome outcome() {
      return ForeignTicketRule.outcomeWithoutAnswer();
    }
  }

  /** Refuses the call, which no ticket of this text ever can run: forged, or of another call. */
  record Forged() implements Refusal {
    @Override
    public Outcome outcome() {
      return new Outcome.NotRun(NotRunReason.TICKET_INVALID);
    }
  }

  /**
   * Refuses the call, since the ledger can't remember one more use.
   *
   * @param neverUsed whether the ticket was withdrawn, so that it never was used and never will be;
   *     if false, it is still good
   */
  record TableFull(boolean neverUsed) implements Refusal {
    @Override
    public Outcome outcome() {
      return neverUsed
          ? new Outcome.NotRun(NotRunReason.LEDGER_FULL)
          : new Outcome.Unknown(UnknownReason.LEDGER_FULL);
    }
  }
}
