package org.gentianslip.load.work;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Computes the answers that the stand-ins for backend servers return.
 *
 * <p>Answers to different prompts differ in every token, so a mixed-up or truncated answer is
 * detected. Stateless and thread-safe.
 */
public final class ExpectedAnswer {

  private static final int DIGEST_HEX_DIGITS = 8;
  private static final int SERVICE_DIGEST_HEX_DIGITS = 16;

  private ExpectedAnswer() {}

  /**
   * Returns the complete answer of a model.
   *
   * @param prompt the prompt; for a chat, the contents of its messages joined by line feeds
   * @param tokens the number of tokens in the answer
   */
  public static String of(String prompt, int tokens) {
    String digest = digest(prompt.getBytes(StandardCharsets.UTF_8), DIGEST_HEX_DIGITS);
    StringBuilder text = new StringBuilder(tokens * (DIGEST_HEX_DIGITS + 4));
    for (int i = 0; i < tokens; i++) {
      text.append(i == 0 ? "" : " ").append(digest).append('-').append(i);
    }
    return text.toString();
  }

  /** Returns the digest with which a service identifies the body of an executed call. */
  public static String serviceDigest(byte[] body) {
    return digest(body, SERVICE_DIGEST_HEX_DIGITS);
  }

  private static String digest(byte[] content, int hexDigits) {
    try {
      byte[] hash = MessageDigest.getInstance("SHA-256").digest(content);
      return HexFormat.of().formatHex(hash).substring(0, hexDigits);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("the Java runtime does not support SHA-256", e);
    }
  }
}
