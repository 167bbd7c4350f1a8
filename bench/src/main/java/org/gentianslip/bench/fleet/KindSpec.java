package org.gentianslip.bench.fleet;

import org.gentianslip.core.id.KindId;
import org.gentianslip.core.id.Rank;

/**
 * Describes a kind of work.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param kind the kind
 * @param rank its rank
 * @param prefixTokens the length of the prefix that requests share, in tokens
 * @param prefixes the number of different prefixes of a customer, or of all if they are shared
 * @param shared whether all customers use the same prefixes
 * @param questionTokens the length of the rest of the prompt, in tokens
 * @param minAnswerTokens the least length of an answer, in tokens
 * @param maxAnswerTokens the greatest length of an answer, in tokens
 * @param deadlineNanos when the first token must be at the caller, in nanoseconds from the sending
 */
public record KindSpec(
    KindId kind,
    Rank rank,
    int prefixTokens,
    int prefixes,
    boolean shared,
    int questionTokens,
    int minAnswerTokens,
    int maxAnswerTokens,
    long deadlineNanos) {

  /** Returns the length of a prompt, in tokens. */
  public int promptTokens() {
    return prefixTokens + questionTokens;
  }
}
