package org.gentianslip.core.load;

/**
 * Tells what one more request can expect of a backend server. Immutable and safe for use by several
 * threads.
 *
 * @param waitMillis the wait before its work begins, in milliseconds
 * @param workMillis the time from there to the first part of the answer, in milliseconds
 * @param missingTokens the tokens of its prompt that are not cached
 * @param running the requests that are there now
 * @param slots the requests that run at once
 * @param failureShare the share of requests that failed lately, from 0 to 1
 */
public record Estimate(
    double waitMillis,
    double workMillis,
    long missingTokens,
    int running,
    int slots,
    double failureShare) {

  /** Returns the time to the first part of the answer, in milliseconds. */
  public double totalMillis() {
    return waitMillis + workMillis;
  }
}
