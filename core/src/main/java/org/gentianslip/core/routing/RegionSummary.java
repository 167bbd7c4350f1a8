package org.gentianslip.core.routing;

import org.gentianslip.core.id.RegionId;

/**
 * The state of another region, as far as this instance knows it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param region the region
 * @param freeSlots the spare capacity that the region last reported, in requests
 * @param reportedNanos when the report arrived, in nanoseconds of the monotonic clock
 * @param roundTripNanos the round trip to the region, in nanoseconds
 * @param reachable whether an instance of the region answered recently and the region does not
 *     refuse work at present
 * @param quota the number of requests that this instance may still send to the region before the
 *     next report: its share of the spare capacity minus the requests sent since the last report
 * @param linkFreeBytes the number of bytes that this instance's share of the link's budget allows
 *     now
 */
public record RegionSummary(
    RegionId region,
    int freeSlots,
    long reportedNanos,
    long roundTripNanos,
    boolean reachable,
    int quota,
    long linkFreeBytes) {

  /** Creates a summary whose quota is the whole spare capacity, without a limit on the link. */
  public RegionSummary(
      RegionId region, int freeSlots, long reportedNanos, long roundTripNanos, boolean reachable) {
    this(region, freeSlots, reportedNanos, roundTripNanos, reachable, freeSlots, Long.MAX_VALUE);
  }
}
