package org.gentianslip.core.ticket;

import java.util.Objects;
import org.gentianslip.core.id.Incarnation;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.outcome.NotRunReason;
import org.gentianslip.core.outcome.Outcome;
import org.gentianslip.core.outcome.UnknownReason;

/** The result of an attempt to use a ticket. Immutable and thread-safe. */
public sealed interface Redemption {

  /**
   * The call may run. This result is returned at most once for a ticket.
   *
   * @param ticket the ticket, to be passed to {@link TicketLedger#complete} when the call has ended
   */
  record Execute(Ticket ticket) implements Redemption {}

  /** The call must not run. */
  sealed interface Refusal extends Redemption {

    /**
     * Returns the known outcome of the call.
     *
     * <p>{@link Outcome.NotRun} means that the call never ran with this ticket and never will, so
     * the caller may repeat it with a new ticket.
     */
    Outcome outcome();
  }

  /**
   * The call must not run, since the ticket was used or withdrawn before.
   *
   * @param use the earlier use of the ticket
   */
  record AlreadyUsed(TicketUse use) implements Refusal {
    /** Validates the use. */
    public AlreadyUsed {
      Objects.requireNonNull(use);
    }

    @Override
    public Outcome outcome() {
      return use.outcome();
    }
  }

  /**
   * The call must not run, since the ticket has expired.
   *
   * @param neverUsed whether it is certain that the ticket was never used and never will be; if
   *     false, it may have been used before its record was dropped
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
   * The call must not run here, since another incarnation issued the ticket.
   *
   * @param owner the instance that the ticket names
   * @param incarnation the incarnation that the ticket names
   * @see ForeignTicketRule
   */
  record Foreign(InstanceId owner, Incarnation incarnation) implements Refusal {
    /** Validates the components. */
    public Foreign {
      Objects.requireNonNull(owner);
      Objects.requireNonNull(incarnation);
    }

    @Override
    public Outcome outcome() {
      return ForeignTicketRule.outcomeWithoutAnswer();
    }
  }

  /** The call can never run with this ticket, which is forged or bound to another call. */
  record Forged() implements Refusal {
    @Override
    public Outcome outcome() {
      return new Outcome.NotRun(NotRunReason.TICKET_INVALID);
    }
  }

  /**
   * The call must not run, since the ledger cannot record another use.
   *
   * @param neverUsed whether the ticket was withdrawn, so that it was never used and never will be;
   *     if false, the ticket is still valid
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
