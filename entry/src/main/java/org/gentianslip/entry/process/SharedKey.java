package org.gentianslip.entry.process;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/**
 * A secret key that is compared in constant time.
 *
 * <p>Immutable and safe for use by several threads.
 */
final class SharedKey {

  private final byte[] key;

  SharedKey(String key) {
    this.key = key.getBytes(StandardCharsets.UTF_8);
  }

  /** Returns whether the text equals the key; null does not. */
  boolean matches(String text) {
    return text != null && MessageDigest.isEqual(key, text.getBytes(StandardCharsets.UTF_8));
  }
}
