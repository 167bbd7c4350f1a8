package org.gentianslip.core.ticket;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.Incarnation;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.outcome.Outcome;
import org.gentianslip.core.ticket.ForeignTicketDecision.Reason;
import org.junit.jupiter.api.Test;

class ForeignTicketRuleTest {

  private static final Incarnation INCARNATION = Incarnation.of(1);
  private static final OwnerView REACHABLE = new OwnerView(true, true, true);
  private final Ticket ticket =
      new TicketIssuer(InstanceId.of("a"), INCARNATION, new byte[16])
          .issue(0, 9, binding("/slots"));

  private static TicketBinding binding(String path) {
    return TicketBinding.of(CustomerId.of("shop"), ServiceId.of("booking"), "POST", path);
  }

  private ForeignTicketDecision decide(OwnerView owner, boolean passed) {
    return ForeignTicketRule.decide(ticket, binding("/slots"), owner, passed);
  }

  private static ForeignTicketDecision unknown(Reason reason) {
    return new ForeignTicketDecision.Unknown(reason);
  }

  @Test
  void forwardsToReachableOwners() {
    ForeignTicketDecision pass =
        new ForeignTicketDecision.PassToOwner(InstanceId.of("a"), INCARNATION);
    assertThat(decide(REACHABLE, false), is(pass));
  }

  @Test
  void neverForwardsTwice() {
    assertThat(decide(REACHABLE, true), is(unknown(Reason.ALREADY_PASSED)));
  }

  @Test
  void isUnknownWhenTheOwnerIsNotKnown() {
    assertThat(decide(OwnerView.NOT_KNOWN, false), is(unknown(Reason.OWNER_NOT_KNOWN)));
  }

  @Test
  void isUnknownWhenTheOwnerIsNotReachable() {
    OwnerView owner = new OwnerView(true, false, true);
    assertThat(decide(owner, false), is(unknown(Reason.OWNER_NOT_REACHABLE)));
  }

  @Test
  void doesNotForwardToRegionsThatAreNotAllowed() {
    OwnerView owner = new OwnerView(true, true, false);
    assertThat(decide(owner, false), is(unknown(Reason.OWNER_REGION_NOT_ALLOWED)));
  }

  @Test
  void neverExecutesTicketsOfAnotherCall() {
    ForeignTicketDecision decision =
        ForeignTicketRule.decide(ticket, binding("/charge"), REACHABLE, false);
    assertThat(decision, is(new ForeignTicketDecision.NeverExecutable()));
  }

  @Test
  void isUnknownWhenTheOwnerGaveNoAnswer() {
    assertThat(ForeignTicketRule.outcomeWithoutAnswer(), instanceOf(Outcome.Unknown.class));
  }
}
