package org.gentianslip.core.load;

/**
 * Tells what one more request can expect of a backend server. Immutable and safe for use by several
 * threads.
 *
 * @param waitMillis the wait before its work begins, in milliseconds
 * @param workMillis the time from there to the first part of the answer, in milliseconds
 * @param sharedPrefillTokens the shared tokens of its prompt that would be read again
 * @param copiedTokens the shared tokens of its prompt that would be copied from another engine
 * @param prefillMillis the time that reading its prompt takes of the engine, in milliseconds
 * @param running the requests that are there now
 * @param slots the requests that run at once
 * @param failureShare the share of requests that failed lately, from 0 to 1
 */
public record BackendEstimate(
    double waitMillis,
    double workMillis,
    long sharedPrefillTokens,
    long copiedTokens,
    double prefillMillis,
    int running,
    int slots,
    double failureShare) {

  /** The charge for a server that fails, in milliseconds at a share of 1. */
  private static final double FAILURE_MILLIS = 1_500;

  /** The share of failures that sound servers answer too, and that is not charged. */
  private static final double USUAL_FAILURES = 0.1;

  /** Returns the charge for the failures of the backend server, in milliseconds. */
  public double failureMillis() {
    return FAILURE_MILLIS * Math.max(0, failureShare - USUAL_FAILURES);
  }

  /** Returns the time to the first part of the answer, in milliseconds. */
  public double totalMillis() {
    return waitMillis + workMillis;
  }
}
