package org.gentianslip.core.load;

import java.util.List;
import java.util.Optional;

/**
 * Tells what is known of the work of a request. Immutable and safe for use by several threads.
 *
 * @param prompt the parts of the prompt in order; empty for a request to a plain service
 * @param outputTokens the greatest number of tokens that are generated
 * @param bodyBytes the size of the body, in bytes
 */
public record RequestSize(List<PromptPart> prompt, long outputTokens, long bodyBytes) {

  /** The size of a request of which nothing is known. */
  public static final RequestSize UNKNOWN = new RequestSize(List.of(), 0, 0);

  /** Copies the list. */
  public RequestSize {
    prompt = List.copyOf(prompt);
  }

  /** Returns the first part, which most requests share, if it is worth to be kept in one place. */
  public Optional<PromptPart> sharedPart() {
    return prompt.size() < 2 ? Optional.empty() : Optional.of(prompt.get(0));
  }

  /** Returns the tokens of the whole prompt. */
  public long promptTokens() {
    return prompt.stream().mapToLong(PromptPart::tokens).sum();
  }

  /** Returns the tokens of all parts but the last, which belongs to the request alone. */
  public long sharedTokens() {
    return prompt.isEmpty() ? 0 : promptTokens() - prompt.get(prompt.size() - 1).tokens();
  }
}
