package org.gentianslip.standin.engine;

import java.util.Objects;
import org.gentianslip.standin.http.Digests;

/**
 * The deterministic completion that every engine stand-in generates for a prompt.
 *
 * <p>Token {@code i}, counted from 0, of the completion of the prompt {@code P} is the first 8
 * hexadecimal digits, in lower case, of the SHA-256 of {@code P} in UTF-8, then a hyphen, then
 * {@code i} in decimal. The tokens are joined by one space. The prompt of a chat is the contents of
 * its messages, joined by a line feed. A client can therefore verify that a completion is complete
 * and belongs to its prompt.
 *
 * <p>Immutable and safe for use by several threads.
 */
public final class CompletionText {

  private static final int DIGEST_LENGTH = 8;

  private final String digest;

  private CompletionText(String digest) {
    this.digest = digest;
  }

  /** Returns the completion of a prompt. */
  public static CompletionText forPrompt(String prompt) {
    Objects.requireNonNull(prompt, "prompt");
    return new CompletionText(Digests.sha256(prompt).substring(0, DIGEST_LENGTH));
  }

  /** Returns the hexadecimal digits that every token begins with. */
  public String digest() {
    return digest;
  }

  /** Returns a token, without a separator. */
  public String token(int index) {
    return digest + "-" + index;
  }

  /** Returns a token, with the separator from the previous token. */
  String tokenWithSeparator(int index) {
    return index == 0 ? token(index) : " " + token(index);
  }

  /** Returns the first tokens of the completion, joined. */
  public String firstTokens(int count) {
    var text = new StringBuilder();
    for (int i = 0; i < count; i++) {
      text.append(tokenWithSeparator(i));
    }
    return text.toString();
  }
}
