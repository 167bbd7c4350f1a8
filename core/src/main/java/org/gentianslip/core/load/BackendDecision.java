package org.gentianslip.core.load;

import org.gentianslip.core.id.RegionId;

/** Where a request is sent. Immutable. */
public sealed interface BackendDecision {

  /**
   * The request is sent to a backend server of this region.
   *
   * @param option the backend server
   * @param estimate the estimate for this request
   */
  record ToBackend(BackendOption option, BackendEstimate estimate) implements BackendDecision {}

  /**
   * The request is forwarded to an instance of another region.
   *
   * @param region the region
   * @param expectedMillis the expected time to the first part of the answer, in milliseconds
   */
  record ToRegion(RegionId region, double expectedMillis) implements BackendDecision {}

  /**
   * The request is refused since it cannot be served in time.
   *
   * @param reason the reason, for logs and metrics
   * @param excessMillis the time by which the expected answer would be late, in milliseconds
   */
  record Refuse(String reason, double excessMillis) implements BackendDecision {}
}
