package org.gentianslip.core.ticket;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.ServiceId;

/**
 * The binding of a ticket to the one call that it may run.
 *
 * <p>Two calls have equal bindings only if their customers, services, methods and paths are equal.
 * Immutable and thread-safe.
 *
 * @param digest the SHA-256 hash of the call's properties, 64 lower-case hexadecimal digits
 */
public record TicketBinding(String digest) {

  private static final int DIGEST_LENGTH = 64;

  /**
   * Validates the digest.
   *
   * @throws IllegalArgumentException if {@code digest} is not 64 lower-case hexadecimal digits
   */
  public TicketBinding {
    if (!isValid(digest)) {
      throw new IllegalArgumentException("Invalid digest of a ticket's binding: " + digest);
    }
  }

  /**
   * Returns the binding for a call.
   *
   * @param customer the customer of the call
   * @param service the called service
   * @param method the HTTP method
   * @param path the path and the query within the service
   */
  public static TicketBinding of(
      CustomerId customer, ServiceId service, String method, String path) {
    MessageDigest digest = sha256();
    for (String part : new String[] {customer.value(), service.value(), method, path}) {
      byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
      digest.update((bytes.length + ":").getBytes(StandardCharsets.UTF_8));
      digest.update(bytes);
    }
    return new TicketBinding(HexFormat.of().formatHex(digest.digest()));
  }

  static boolean isValid(String digest) {
    if (digest == null || digest.length() != DIGEST_LENGTH) {
      return false;
    }
    for (int i = 0; i < digest.length(); i++) {
      char c = digest.charAt(i);
      if (!((c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'))) {
        return false;
      }
    }
    return true;
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("Every Java platform must have SHA-256", e);
    }
  }
}
