package org.gentianslip.standin.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes digests of text. Stateless and safe for use by several threads. */
public final class Digests {

  private Digests() {}

  /** Returns the SHA-256 of the UTF-8 encoded text as 64 lower-case hexadecimal digits. */
  public static String sha256(String text) {
    try {
      var digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new AssertionError("every Java platform supports SHA-256", e);
    }
  }
}
