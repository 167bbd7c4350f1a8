package org.gentianslip.core.ticket;

import java.util.Objects;
import java.util.Optional;
import org.gentianslip.core.id.Incarnation;
import org.gentianslip.core.id.InstanceId;

/**
 * Gives the right to run one call once, at the one incarnation that minted it.
 *
 * <p>The expiry is a time of the minting incarnation's own monotonic clock and means nothing to
 * others. A ticket that was parsed proves nothing before {@link TicketIssuer#isGenuine} has said
 * so. Immutable and safe for use by several threads.
 *
 * @param owner the instance that minted the ticket
 * @param incarnation the life of the owner that minted the ticket
 * @param number the number of the ticket in that life
 * @param expiresNanos when the right ends, in nanoseconds of the owner's monotonic clock
 * @param binding the call that the ticket may run
 * @param mac the authentication code over all other parts, 64 lower-case hexadecimal digits
 */
public record Ticket(
    InstanceId owner,
    Incarnation incarnation,
    long number,
    long expiresNanos,
    TicketBinding binding,
    String mac) {

  /** The greatest number of characters in the text of a ticket. */
  public static final int MAX_LENGTH = 512;

  private static final String VERSION = "1";
  private static final String SEPARATOR = "~";
  private static final int PARTS = 7;

  /**
   * Checks the parts.
   *
   * @throws IllegalArgumentException if {@code mac} has no valid form
   */
  public Ticket {
    Objects.requireNonNull(owner);
    Objects.requireNonNull(incarnation);
    Objects.requireNonNull(binding);
    if (!TicketBinding.isValid(mac)) {
      throw new IllegalArgumentException("Invalid authentication code of a ticket: " + mac);
    }
  }

  /** Parses the form that {@link #toString()} gives; any other text gives an empty result. */
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

  /** Returns the text over which the authentication code is taken. */
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
