package org.gentianslip.bench.scenario;

import org.gentianslip.bench.fleet.KindSpec;
import org.gentianslip.core.id.CustomerId;

/**
 * Describes a request that a caller sends.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param sentNanos when the caller sends it, in nanoseconds from the start of the run
 * @param region the index of the caller's region
 * @param customer the customer
 * @param kind the kind of work
 * @param prefix the digest of the prefix
 * @param answerTokens the length of the answer, in tokens
 * @param bound whether the payload must stay in the region
 * @param flooding whether the request belongs to a flood
 * @param draw a number for the choice of an entry
 */
public record Arrival(
    long sentNanos,
    int region,
    CustomerId customer,
    KindSpec kind,
    long prefix,
    int answerTokens,
    boolean bound,
    boolean flooding,
    int draw)
    implements Comparable<Arrival> {

  @Override
  public int compareTo(Arrival other) {
    return Long.compare(sentNanos, other.sentNanos);
  }
}
