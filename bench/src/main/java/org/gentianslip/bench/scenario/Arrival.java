package org.gentianslip.bench.scenario;

import org.gentianslip.bench.fleet.KindSpec;
import org.gentianslip.core.id.CustomerId;

/**
 * A request that a caller sends.
 *
 * <p>Immutable and thread-safe.
 *
 * @param sentNanos the time at which the caller sends it, in nanoseconds from the start of the
 *     simulation
 * @param region the index of the region of the caller
 * @param customer the customer
 * @param kind the kind of work
 * @param prefixDigest the digest of the prompt prefix
 * @param answerTokens the length of the answer, in tokens
 * @param regionBound whether the payload must stay in the region of the caller
 * @param partOfFlood whether the request is part of a flood
 * @param entryDraw a random number for the choice of an entry
 */
public record Arrival(
    long sentNanos,
    int region,
    CustomerId customer,
    KindSpec kind,
    long prefixDigest,
    int answerTokens,
    boolean regionBound,
    boolean partOfFlood,
    int entryDraw)
    implements Comparable<Arrival> {

  @Override
  public int compareTo(Arrival other) {
    return Long.compare(sentNanos, other.sentNanos);
  }
}
