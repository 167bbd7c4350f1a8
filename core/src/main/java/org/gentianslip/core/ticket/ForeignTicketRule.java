package org.gentianslip.core.ticket;

import org.gentianslip.core.outcome.Outcome;
import org.gentianslip.core.outcome.UnknownReason;

/**
 * Decides what an instance does with a ticket that it did not mint.
 *
 * <p>The instance passes the call to whoever answers at the owner's address, also if it believes
 * another life there: incarnations have no order, so the belief may be the older one, and the
 * receiver checks the ticket. The instance never runs such a call itself. It can't check the
 * authentication code, and it can't know whether the call ran already through the owner, so it
 * claims "not run" only if the ticket is bound to another call and so never can run this one.
 * Stateless and safe for use by several threads.
 */
public final class ForeignTicketRule {

  private ForeignTicketRule() {}

  /**
   * Decides.
   *
   * @param ticket the ticket, minted by another incarnation
   * @param binding the call that came
   * @param owner what is believed of the ticket's owner
   * @param alreadyPassed whether the call has come from another instance
   */
  public static ForeignTicketDecision decide(
      Ticket ticket, TicketBinding binding, OwnerView owner, boolean alreadyPassed) {
    if (!ticket.binding().equals(binding)) {
      return new ForeignTicketDecision.NeverExecutable();
    }
    if (alreadyPassed) {
      return unknown(ForeignTicketDecision.Reason.ALREADY_PASSED);
    }
    if (!owner.known()) {
      return unknown(ForeignTicketDecision.Reason.OWNER_NOT_KNOWN);
    }
    if (!owner.regionAllowed()) {
      return unknown(ForeignTicketDecision.Reason.OWNER_REGION_NOT_ALLOWED);
    }
    if (!owner.reachable()) {
      return unknown(ForeignTicketDecision.Reason.OWNER_NOT_REACHABLE);
    }
    return new ForeignTicketDecision.PassToOwner(ticket.owner(), ticket.incarnation());
  }

  /**
   * Returns the outcome of a call whose owner gave no whole answer.
   *
   * <p>It is unknown even if no byte reached the owner, since an earlier repetition of the call may
   * have run there under the same ticket.
   */
  public static Outcome outcomeWithoutAnswer() {
    return new Outcome.Unknown(UnknownReason.OWNER_SILENT);
  }

  private static ForeignTicketDecision unknown(ForeignTicketDecision.Reason reason) {
    return new ForeignTicketDecision.Unknown(reason);
  }
}
