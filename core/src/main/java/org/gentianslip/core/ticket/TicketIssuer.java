package org.gentianslip.core.ticket;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.gentianslip.core.id.Incarnation;
import org.gentianslip.core.id.InstanceId;

/**
 * Mints the tickets of one incarnation and tells its own genuine ones.
 *
 * <p>No two tickets of a mint have the same number, and the mint keeps nothing of the tickets it
 * made. The key is drawn at random by each process and never leaves it. Safe for use by several
 * threads.
 */
public final class TicketIssuer {

  private static final String ALGORITHM = "HmacSHA256";
  private static final int LEAST_KEY_BYTES = 16;

  private final InstanceId owner;
  private final Incarnation incarnation;
  private final SecretKeySpec key;
  private final AtomicLong lastNumber = new AtomicLong();

  /**
   * Makes the mint of an incarnation.
   *
   * @param owner the instance
   * @param incarnation the present life of the instance
   * @param key random bytes that no other process has, at least 16
   * @throws IllegalArgumentException if the key is too short
   */
  public TicketIssuer(InstanceId owner, Incarnation incarnation, byte[] key) {
    if (key.length < LEAST_KEY_BYTES) {
      throw new IllegalArgumentException(
          "Key must have at least " + LEAST_KEY_BYTES + " bytes, but has " + key.length);
    }
    this.owner = Objects.requireNonNull(owner);
    this.incarnation = Objects.requireNonNull(incarnation);
    this.key = new SecretKeySpec(key, ALGORITHM);
  }

  /**
   * Mints a ticket.
   *
   * @param nowNanos the present time, in nanoseconds of the monotonic clock
   * @param lifetimeNanos how long the ticket may be used, in nanoseconds, greater than 0
   * @param binding the call that the ticket may run
   * @throws IllegalArgumentException if the lifetime is not positive
   */
  public Ticket issue(long nowNanos, long lifetimeNanos, TicketBinding binding) {
    if (lifetimeNanos <= 0) {
      throw new IllegalArgumentException("Lifetime must be positive: " + lifetimeNanos);
    }
    long number = lastNumber.incrementAndGet();
    long expiresNanos = nowNanos + lifetimeNanos;
    String text = Ticket.signedText(owner, incarnation, number, expiresNanos, binding);
    return new Ticket(owner, incarnation, number, expiresNanos, binding, macOf(text));
  }

  /** Returns whether the ticket names this incarnation as its owner; it may still be forged. */
  public boolean isOwnerOf(Ticket ticket) {
    return ticket.owner().equals(owner) && ticket.incarnation().equals(incarnation);
  }

  /** Returns whether this mint made the ticket, for the given call. */
  public boolean isGenuine(Ticket ticket, TicketBinding binding) {
    return isOwnerOf(ticket)
        && MessageDigest.isEqual(ascii(macOf(ticket.signedText())), ascii(ticket.mac()))
        && ticket.binding().equals(binding);
  }

  private String macOf(String text) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      return HexFormat.of().formatHex(mac.doFinal(ascii(text)));
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("Every Java platform must have " + ALGORITHM, e);
    }
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }
}
