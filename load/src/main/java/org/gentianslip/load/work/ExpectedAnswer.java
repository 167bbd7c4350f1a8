package org.gentianslip.load.work;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Computes the answer that a stand-in of a model engine gives to a prompt.
 *
 * <p>Answers to different prompts differ in every token. Stateless and safe for use by several
 * threads.
 */
public final class ExpectedAnswer {

  private static final int DIGEST_HEX_DIGITS = 8;

  private ExpectedAnswer() {}

  /**
   * Returns the whole answer.
   *
   * @param prompt the prompt; for a chat, the messages' contents joined by line feeds
   * @param tokens the number of tokens in the answer
   */
  public static String of(String prompt, int tokens) {
    String digest = digest(prompt);
    StringBuilder text = new StringBuilder(tokens * (DIGEST_HEX_DIGITS + 4));
    for (int i = 0; i < tokens; i++) {
      text.append(i == 0 ? "" : " ").append(digest).append('-').append(i);
    }
    return text.toString();
  }

  private static String digest(String prompt) {
    try {
      byte[] hash =
          MessageDigest.getInstance("SHA-256").digest(prompt.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(hash).substring(0, DIGEST_HEX_DIGITS);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("this Java has no SHA-256", e);
    }
  }
}
