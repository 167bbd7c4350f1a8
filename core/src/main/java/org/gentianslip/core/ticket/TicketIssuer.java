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
 * Issues and verifies the tickets of one incarnation.
 *
 * <p>No two tickets of an issuer have the same number, and the issuer stores nothing about the
 * tickets that it has issued. Each process generates a random key, which never leaves the process.
 * Thread-safe.
 */
public final class TicketIssuer {

  private static final String ALGORITHM = "HmacSHA256";
  private static final int MIN_KEY_BYTES = 16;

  private final InstanceId owner;
  private final Incarnation incarnation;
  private final SecretKeySpec key;
  private final AtomicLong lastNumber = new AtomicLong();

  /**
   * Creates the issuer of an incarnation.
   *
   * @param owner the instance
   * @param incarnation the current incarnation of the instance
   * @param key random bytes that no other process knows, at least 16
   * @throws IllegalArgumentException if {@code key} is too short
   */
  public TicketIssuer(InstanceId owner, Incarnation incarnation, byte[] key) {
    if (key.length < MIN_KEY_BYTES) {
      throw new IllegalArgumentException(
          "Key must have at least " + MIN_KEY_BYTES + " bytes, but has " + key.length);
    }
    this.owner = Objects.requireNonNull(owner);
    this.incarnation = Objects.requireNonNull(incarnation);
    this.key = new SecretKeySpec(key, ALGORITHM);
  }

  /**
   * Issues a ticket.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @param lifetimeNanos how long the ticket is valid, in nanoseconds, greater than 0
   * @param binding the binding of the call that the ticket may run
   * @throws IllegalArgumentException if {@code lifetimeNanos} is not positive
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

  /** Returns whether a ticket names this incarnation as its owner; it may still be forged. */
  public boolean isOwnerOf(Ticket ticket) {
    return ticket.owner().equals(owner) && ticket.incarnation().equals(incarnation);
  }

  /** Returns whether this issuer has issued the ticket for the given call. */
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
