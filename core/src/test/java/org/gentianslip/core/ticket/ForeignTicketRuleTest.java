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

  private static final Incarnation LIFE = Incarnation.of(1);
  private static final OwnerView GOOD = new OwnerView(true, true, true);
  private final Ticket ticket =
      new TicketIssuer(InstanceId.of("a"), LIFE, new byte[16]).issue(0, 9, binding("/slots"));

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
  void passesToReachableOwner() {
    ForeignTicketDecision pass = new ForeignTicketDecision.PassToOwner(InstanceId.of("a"), LIFE);
    assertThat(decide(GOOD, false), is(pass));
  }

  @Test
  void neverPassesTwice() {
    assertThat(decide(GOOD, true), is(unknown(Reason.ALREADY_PASSED)));
  }

  @Test
  void claimsNothingWhenTheOwnerIsNotKnown() {
    assertThat(decide(OwnerView.NOT_KNOWN, false), is(unknown(Reason.OWNER_NOT_KNOWN)));
  }

  @Test
  void claimsNothingWhenTheOwnerIsNotReachable() {
    OwnerView owner = new OwnerView(true, false, true);
    assertThat(decide(owner, false), is(unknown(Reason.OWNER_NOT_REACHABLE)));
  }

  @Test
  void doesNotPassIntoRegionThatIsNotAllowed() {
    OwnerView owner = new OwnerView(true, true, false);
    assertThat(decide(owner, false), is(unknown(Reason.OWNER_REGION_NOT_ALLOWED)));
  }

  @Test
  void knowsThatTicketOfAnotherCallNeverRunsThisOne() {
    ForeignTicketDecision decision =
        ForeignTicketRule.decide(ticket, binding("/charge"), GOOD, false);
    assertThat(decision, is(new ForeignTicketDecision.NeverExecutable()));
  }

  @Test
  void claimsNothingWhenTheOwnerGaveNoAnswer() {
    assertThat(ForeignTicketRule.outcomeWithoutAnswer(), instanceOf(Outcome.Unknown.class));
  }
}
