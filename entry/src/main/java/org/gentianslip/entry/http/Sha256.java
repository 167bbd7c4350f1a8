package org.gentianslip.entry.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes SHA-256 digests. Stateless and safe for use by several threads. */
public final class Sha256 {

  private Sha256() {}

  /** Returns the digest of a text's UTF-8 bytes in lower-case hexadecimal. */
  public static String hex(String text) {
    return hex(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the digest in lower-case hexadecimal. */
  public static String hex(byte[] bytes) {
    return HexFormat.of().formatHex(digest(bytes));
  }

  /** Returns the digest. */
  public static byte[] digest(byte[] bytes) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(bytes);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is missing from this runtime", e);
    }
  }
}
