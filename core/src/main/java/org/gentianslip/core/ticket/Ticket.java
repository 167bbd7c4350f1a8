package org.gentianslip.core.ticket;

import java.util.Objects;
import java.util.Optional;
import org.gentianslip.core.id.Incarnation;
import org.gentianslip.core.id.InstanceId;

/**
 * A permission to run one call once, at the incarnation that issued the ticket.
 *
 * <p>The expiry is a time of the issuing incarnation's monotonic clock and has no meaning to other
 * processes. A parsed ticket must be verified with {@link TicketIssuer#isGenuine} before it is
 * trusted. Immutable and thread-safe.
 *
 * @param owner the instance that issued the ticket
 * @param incarnation the incarnation of the owner that issued the ticket
 * @param number the number of the ticket, unique within that incarnation
 * @param expiresNanos when the ticket expires, in nanoseconds of the owner's monotonic clock
 * @param binding the call that the ticket may run
 * @param mac the message authentication code of all other components, 64 lower-case hexadecimal
 *     digits
 */
public record Ticket(
    InstanceId owner,
    Incarnation incarnation,
    long number,
    long expiresNanos,
    TicketBinding binding,
    String mac) {

  /** The maximum number of characters in the text of a ticket. */
  public static final int MAX_LENGTH = 512;

  private static final String VERSION = "1";
  private static final String SEPARATOR = "~";
  private static final int PARTS = 7;

  /**
   * Validates the components.
   *
   * @throws IllegalArgumentException if {@code mac} is not 64 lower-case hexadecimal digits
   */
  public Ticket {
    Objects.requireNonNull(owner);
    Objects.requireNonNull(incarnation);
    Objects.requireNonNull(binding);
    if (!TicketBinding.isValid(mac)) {
      throw new IllegalArgumentException("Invalid authentication code of a ticket: " + mac);
    }
  }

  /**
   * Parses the text that {@link #toString()} returns.
   *
   * <p>Returns an empty result for any other text.
   */
  public static Optional<Ticket> parse(String text) {
    if (text == null || text.length() > MAX_LENGTH) {
      return Optional.empty();
    }
    String[] parts = text.split(SEPARATOR, -1);
    if (parts.length != PARTS || !parts[0].equals(VERSION)) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new Ticket(
              InstanceId.of(parts[1]),
              Incarnation.parse(parts[2]),
              Long.parseUnsignedLong(parts[3], 16),
              Long.parseUnsignedLong(parts[4], 16),
              new TicketBinding(parts[5]),
              parts[6]));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  /** Returns the text that the message authentication code is computed from. */
  static String signedText(
      InstanceId owner,
      Incarnation incarnation,
      long number,
      long expiresNanos,
      TicketBinding binding) {
    return String.join(
        SEPARATOR,
        VERSION,
        owner.value(),
        incarnation.toString(),
        Long.toHexString(number),
        Long.toHexString(expiresNanos),
        binding.digest());
  }

  String signedText() {
    return signedText(owner, incarnation, number, expiresNanos, binding);
  }

  @Override
  public String toString() {
    return signedText() + SEPARATOR + mac;
  }
}
