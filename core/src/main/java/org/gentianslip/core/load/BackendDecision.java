package org.gentianslip.core.load;

import org.gentianslip.core.id.RegionId;

/** Tells where a request goes. Immutable. */
public sealed interface BackendDecision {

  /**
   * It goes to a backend server of this region.
   *
   * @param option the backend server
   * @param estimate what is expected of it
   */
  record ToBackend(BackendOption option, BackendEstimate estimate) implements BackendDecision {}

  /**
   * It goes to an instance of another region.
   *
   * @param region the region
   * @param expectedMillis the time to the first part of the answer, in milliseconds
   */
  record ToRegion(RegionId region, double expectedMillis) implements BackendDecision {}

  /**
   * It cannot be served in time.
   *
   * @param reason why, for logs and metrics
   * @param excessMillis how much too long the wait is, in milliseconds
   */
  record Refuse(String reason, double excessMillis) implements BackendDecision {}
}
