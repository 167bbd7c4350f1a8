package org.gentianslip.standin.engine;

import java.util.Objects;
import org.gentianslip.standin.http.Digests;

/**
 * The answer that every engine gives to a prompt.
 *
 * <p>Token {@code i}, counted from 0, of the answer to the prompt {@code P} is the first 8
 * hexadecimal digits, in lower case, of the SHA-256 of {@code P} in UTF-8, then a hyphen, then
 * {@code i} in decimal. The tokens are joined by one space. The prompt of a chat is the contents of
 * its messages joined by a line feed. So a client can tell whether an answer is whole and its own.
 *
 * <p>Immutable and safe for use by several threads.
 */
public final class AnswerText {

  private static final int DIGEST_LENGTH = 8;

  private final String digest;

  private AnswerText(String digest) {
    this.digest = digest;
  }

  /** Returns the answer to a prompt. */
  public static AnswerText to(String prompt) {
    Objects.requireNonNull(prompt, "prompt");
    return new AnswerText(Digests.sha256(prompt).substring(0, DIGEST_LENGTH));
  }

  /** Returns the digits that begin every token. */
  public String digest() {
    return digest;
  }

  /** Returns a token without the space before it. */
  public String token(int index) {
    return digest + "-" + index;
  }

  /** Returns a token with the space that joins it to the one before. */
  String joinedToken(int index) {
    return index == 0 ? token(index) : " " + token(index);
  }

  /** Returns the first tokens of the answer. */
  public String firstTokens(int number) {
    var text = new StringBuilder();
    for (int i = 0; i < number; i++) {
      text.append(joinedToken(i));
    }
    return text.toString();
  }
}
