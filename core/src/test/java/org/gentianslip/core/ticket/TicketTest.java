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
  private final TicketIssuer issuer = issuer(1);

  private static TicketBinding binding(String customer, String path) {
    return TicketBinding.of(CustomerId.of(customer), BOOKING, "POST", path);
  }

  private static TicketIssuer issuer(long incarnation) {
    return new TicketIssuer(
        InstanceId.of("pk-north.1-a"), Incarnation.of(incarnation), new byte[32]);
  }

  @Test
  void isEqualAfterItsTextWasParsed() {
    Ticket ticket = issuer.issue(-5, 3, BINDING);
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
  void differsFromEveryOtherTicketOfItsIssuer() {
    assertThat(issuer.issue(0, 9, BINDING), is(not(issuer.issue(0, 9, BINDING))));
  }

  @Test
  void isGenuineForItsIssuerAndCall() {
    assertThat(issuer.isGenuine(issuer.issue(0, 9, BINDING), BINDING), is(true));
  }

  @Test
  void isNotGenuineForAnotherCall() {
    assertThat(issuer.isGenuine(issuer.issue(0, 9, BINDING), binding("shop", "/s")), is(false));
  }

  @Test
  void isNotGenuineForAnotherIncarnation() {
    assertThat(issuer(2).isGenuine(issuer.issue(0, 9, BINDING), BINDING), is(false));
  }

  @Test
  void isNotGenuineWithLaterExpiry() {
    Ticket t = issuer.issue(0, 9, BINDING);
    Ticket forged = new Ticket(t.owner(), t.incarnation(), t.number(), 1000, t.binding(), t.mac());
    assertThat(issuer.isGenuine(forged, BINDING), is(false));
  }

  @Test
  void isNotGenuineWithAnotherBinding() {
    Ticket t = issuer.issue(0, 9, BINDING);
    TicketBinding other = binding("other", "/slots");
    Ticket forged =
        new Ticket(t.owner(), t.incarnation(), t.number(), t.expiresNanos(), other, t.mac());
    assertThat(issuer.isGenuine(forged, other), is(false));
  }

  @Test
  void distinguishesCallsWithEqualConcatenations() {
    TicketBinding a = TicketBinding.of(CustomerId.of("ab"), BOOKING, "POST", "/x");
    TicketBinding b = TicketBinding.of(CustomerId.of("a"), ServiceId.of("bbooking"), "POST", "/x");
    assertThat(a, is(not(b)));
  }

  @Test
  void isNotIssuedWithoutLifetime() {
    assertThrows(IllegalArgumentException.class, () -> issuer.issue(0, 0, BINDING));
  }
}
