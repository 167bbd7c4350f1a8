package org.gentianslip.core.ticket;

import java.util.Objects;
import org.gentianslip.core.id.Incarnation;
import org.gentianslip.core.id.InstanceId;

/** Answers an attempt to use a ticket. Immutable and safe for use by several threads. */
public sealed interface Redemption {

  /**
   * Grants the call; given at most once for a ticket.
   *
   * @param ticket the ticket, to be handed to {@link TicketLedger#complete} when the call has ended
   */
  record Execute(Ticket ticket) implements Redemption {}

  /**
   * Refuses the call, since the ticket was used or withdrawn before.
   *
   * @param use what became of it
   */
  record AlreadyUsed(TicketUse use) implements Redemption {
    /** Checks the use. */
    public AlreadyUsed {
      Objects.requireNonNull(use);
    }
  }

  /**
   * Refuses the call, since the ticket's time is over.
   *
   * @param neverUsed whether the ticket certainly was never used and never will be; if false, it
   *     may have been used and forgotten since
   */
  record Expired(boolean neverUsed) implements Redemption {}

  /**
   * Refuses the call, since another incarnation minted the ticket.
   *
   * @param owner the instance that the ticket names
   * @param incarnation the life of that instance
   * @see ForeignTicketRule
   */
  record Foreign(InstanceId owner, Incarnation incarnation) implements Redemption {
    /** Checks the parts. */
    public Foreign {
      Objects.requireNonNull(owner);
      Objects.requireNonNull(incarnation);
    }
  }

  /** Refuses the call, which no ticket of this text ever can run: forged, or of another call. */
  record Forged() implements Redemption {}

  /**
   * Refuses the call, since the ledger can't remember one more use.
   *
   * @param neverUsed whether the ticket was withdrawn, so that it never was used and never will be;
   *     if false, it is still good
   */
  record TableFull(boolean neverUsed) implements Redemption {}
}
