package org.gentianslip.core.load;

/**
 * The estimated time and work of one more request at a backend server. Immutable and thread-safe.
 *
 * @param waitMillis the wait before its work begins, in milliseconds
 * @param workMillis the time from the beginning of its work to the first part of the answer, in
 *     milliseconds
 * @param serviceMillis the usual time from the sending of a request to its complete answer, in
 *     milliseconds
 * @param sharedPrefillTokens the shared tokens of its prompt that would be prefilled again
 * @param copiedTokens the shared tokens of its prompt that would be copied from another engine
 * @param prefillMillis the engine time that prefilling its prompt takes, in milliseconds
 * @param running the number of requests that are running or waiting there now
 * @param slots the number of requests that run at once
 * @param failureShare the share of recent requests that failed, from 0 to 1
 */
public record BackendEstimate(
    double waitMillis,
    double workMillis,
    double serviceMillis,
    long sharedPrefillTokens,
    long copiedTokens,
    double prefillMillis,
    int running,
    int slots,
    double failureShare) {

  /** The cost of failures, in milliseconds per unit of failure share above the usual share. */
  private static final double FAILURE_MILLIS = 1_500;

  /** The failure share that healthy backend servers show too; it adds no cost. */
  private static final double USUAL_FAILURE_SHARE = 0.1;

  /** Returns the cost of the backend server's recent failures, in milliseconds. */
  public double failureMillis() {
    return FAILURE_MILLIS * Math.max(0, failureShare - USUAL_FAILURE_SHARE);
  }

  /** Returns the expected time to the complete answer, in milliseconds. */
  public double completeMillis() {
    return waitMillis + Math.max(workMillis, serviceMillis);
  }

  /** Returns the expected time to the first part of the answer, in milliseconds. */
  public double totalMillis() {
    return waitMillis + workMillis;
  }
}
