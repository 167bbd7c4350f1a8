package org.gentianslip.bench.fleet;

import org.gentianslip.core.id.KindId;
import org.gentianslip.core.id.Rank;

/**
 * The specification of a kind of work.
 *
 * <p>Immutable and thread-safe.
 *
 * @param kind the id of the kind
 * @param rank its rank
 * @param prefixTokens the length of the prefix that requests have in common, in tokens
 * @param prefixCount the number of different prefixes of each customer, or of all customers
 *     together if they share them
 * @param sharedPrefixes whether all customers share the same prefixes
 * @param uniqueTokens the length of the rest of the prompt, in tokens
 * @param minAnswerTokens the minimum length of an answer, in tokens
 * @param maxAnswerTokens the maximum length of an answer, in tokens
 * @param firstTokenDeadlineNanos the time within which the first token must reach the caller, in
 *     nanoseconds from the sending of the request
 */
public record KindSpec(
    KindId kind,
    Rank rank,
    int prefixTokens,
    int prefixCount,
    boolean sharedPrefixes,
    int uniqueTokens,
    int minAnswerTokens,
    int maxAnswerTokens,
    long firstTokenDeadlineNanos) {

  /** Returns the length of a prompt, in tokens. */
  public int promptTokens() {
    return prefixTokens + uniqueTokens;
  }
}
