package org.gentianslip.core.load;

import java.util.List;
import java.util.Optional;

/**
 * The size of a request, as far as it is known. Immutable and thread-safe.
 *
 * @param prompt the parts of the prompt in order; empty for a request to a plain service
 * @param outputTokens the maximum number of tokens to generate
 * @param bodyBytes the size of the body, in bytes
 */
public record RequestSize(List<PromptPart> prompt, long outputTokens, long bodyBytes) {

  /** The size of a request of which nothing is known. */
  public static final RequestSize UNKNOWN = new RequestSize(List.of(), 0, 0);

  /** Creates a size with a copy of the list. */
  public RequestSize {
    prompt = List.copyOf(prompt);
  }

  /**
   * Returns the first part of the prompt, which other requests may share; empty if the prompt has a
   * single part.
   */
  public Optional<PromptPart> sharedPart() {
    return prompt.size() < 2 ? Optional.empty() : Optional.of(prompt.get(0));
  }

  /** Returns the parts of the prompt that other requests may have too: all but the last. */
  public List<PromptPart> sharedParts() {
    return prompt.isEmpty() ? List.of() : prompt.subList(0, prompt.size() - 1);
  }

  /** Returns the last part of the prompt, which only this request or its session has. */
  public Optional<PromptPart> ownPart() {
    return prompt.isEmpty() ? Optional.empty() : Optional.of(prompt.get(prompt.size() - 1));
  }

  /** Returns the number of tokens of the whole prompt. */
  public long promptTokens() {
    return prompt.stream().mapToLong(PromptPart::tokens).sum();
  }

  /** Returns the number of tokens of all parts except the last, which only this request has. */
  public long sharedTokens() {
    return sharedParts().stream().mapToLong(PromptPart::tokens).sum();
  }
}
