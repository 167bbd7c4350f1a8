package org.gentianslip.entry.model;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Computes keyed digests of the first tokens of prompts.
 *
 * <p>All instances use the same key. Without the key, a digest reveals nothing about the prompt.
 * Safe for use by several threads.
 */
final class PrefixDigest {

  /** The estimated number of characters in a token. */
  static final int CHARS_PER_TOKEN = 4;

  private static final String ALGORITHM = "HmacSHA256";

  private final SecretKeySpec key;

  PrefixDigest(String sharedKey) {
    this.key = new SecretKeySpec(sharedKey.getBytes(StandardCharsets.UTF_8), ALGORITHM);
  }

  /** Returns the digest of a customer's id and the first tokens of a prompt. */
  long compute(String customer, String prompt, int maxTokens) {
    int length = (int) Math.min(prompt.length(), (long) maxTokens * CHARS_PER_TOKEN);
    Mac mac = mac();
    mac.update(customer.getBytes(StandardCharsets.UTF_8));
    mac.update((byte) 0);
    mac.update(prompt.substring(0, length).getBytes(StandardCharsets.UTF_8));
    return ByteBuffer.wrap(mac.doFinal()).getLong();
  }

  private Mac mac() {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      return mac;
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException(ALGORITHM + " is missing from this runtime", e);
    }
  }
}
