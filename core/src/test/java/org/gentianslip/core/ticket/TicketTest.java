package org.gentianslip.core.ticket;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Optional;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.Incarnation;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.ServiceId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TicketTest {

  private static final ServiceId BOOKING = ServiceId.of("booking");
  private static final TicketBinding BINDING = binding("shop", "/slots");
  private final TicketIssuer mint = mint(1);

  private static TicketBinding binding(String customer, String path) {
    return TicketBinding.of(CustomerId.of(customer), BOOKING, "POST", path);
  }

  private static TicketIssuer mint(long incarnation) {
    return new TicketIssuer(
        InstanceId.of("pk-north.1-a"), Incarnation.of(incarnation), new byte[32]);
  }

  @Test
  void isEqualAfterItsTextWasParsed() {
    Ticket ticket = mint.issue(-5, 3, BINDING);
    assertThat(Ticket.parse(ticket.toString()), is(Optional.of(ticket)));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "1", "1~a~1~1~1~x~y", "2~a~1~1~1~00~00", "1~~1~1~1~~", "~~~~~~"})
  void isNotParsedFromOtherText(String text) {
    assertThat(Ticket.parse(text), is(Optional.empty()));
  }

  @Test
  void isNotParsedFromOverlongText() {
    assertThat(Ticket.parse("1~".repeat(Ticket.MAX_LENGTH)), is(Optional.empty()));
  }

  @Test
  void differsFromEveryOtherTicketOfItsMint() {
    assertThat(mint.issue(0, 9, BINDING), is(not(mint.issue(0, 9, BINDING))));
  }

  @Test
  void isGenuineForItsMintAndCall() {
    assertThat(mint.isGenuine(mint.issue(0, 9, BINDING), BINDING), is(true));
  }

  @Test
  void isNotGenuineForAnotherCall() {
    assertThat(mint.isGenuine(mint.issue(0, 9, BINDING), binding("shop", "/s")), is(false));
  }

  @Test
  void isNotGenuineForAnotherIncarnation() {
    assertThat(mint(2).isGenuine(mint.issue(0, 9, BINDING), BINDING), is(false));
  }

  @Test
  void isNotGenuineWithLaterExpiry() {
    Ticket t = mint.issue(0, 9, BINDING);
    Ticket forged = new Ticket(t.owner(), t.incarnation(), t.number(), 1000, t.binding(), t.mac());
    assertThat(mint.isGenuine(forged, BINDING), is(false));
  }

  @Test
  void isNotGenuineWithAnotherBinding() {
    Ticket t = mint.issue(0, 9, BINDING);
    TicketBinding other = binding("other", "/slots");
    Ticket forged =
        new Ticket(t.owner(), t.incarnation(), t.number(), t.expiresNanos(), other, t.mac());
    assertThat(mint.isGenuine(forged, other), is(false));
  }

  @Test
  void hasBindingThatKeepsPartsApart() {
    TicketBinding a = TicketBinding.of(CustomerId.of("ab"), BOOKING, "POST", "/x");
    TicketBinding b = TicketBinding.of(CustomerId.of("a"), ServiceId.of("bbooking"), "POST", "/x");
    assertThat(a, is(not(b)));
  }

  @Test
  void isNotMintedWithoutLifetime() {
    assertThrows(IllegalArgumentException.class, () -> mint.issue(0, 0, BINDING));
  }
}
