package org.gentianslip.core.ticket;

import org.gentianslip.core.outcome.Outcome;
import org.gentianslip.core.outcome.UnknownReason;

/**
 * Decides what an instance does with a call whose ticket another incarnation issued.
 *
 * <p>The instance forwards the call to the owner's address, even if it believes that a different
 * incarnation answers there: incarnations have no order, so its belief may be out of date, and the
 * receiver checks the ticket. The instance never runs such a call itself. It cannot check the
 * authentication code, and it cannot know whether the owner has already run the call. It therefore
 * answers "not run" only if the ticket is bound to another call and so can never run this one.
 * Stateless and thread-safe.
 */
public final class ForeignTicketRule {

  private ForeignTicketRule() {}

  /**
   * Returns the decision about a call.
   *
   * @param ticket the ticket, which another incarnation issued
   * @param binding the binding of the received call
   * @param owner the beliefs about the ticket's owner
   * @param alreadyPassed whether the call was forwarded by another instance
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
   * Returns the outcome of a forwarded call to which the owner gave no complete answer.
   *
   * <p>The outcome is unknown even if no byte reached the owner, since an earlier attempt at the
   * call may have run there with the same ticket.
   */
  public static Outcome outcomeWithoutAnswer() {
    return new Outcome.Unknown(UnknownReason.OWNER_SILENT);
  }

  private static ForeignTicketDecision unknown(ForeignTicketDecision.Reason reason) {
    return new ForeignTicketDecision.Unknown(reason);
  }
}
