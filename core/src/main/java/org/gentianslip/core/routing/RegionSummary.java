package org.gentianslip.core.routing;

import org.gentianslip.core.id.RegionId;

/**
 * Holds what this instance knows of another region.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param region the region
 * @param freeSlots the spare capacity that the region last told, in requests
 * @param reportedNanos when the report arrived, in nanoseconds of the monotonic clock
 * @param roundTripNanos the round trip to the region, in nanoseconds
 * @param reachable whether some instance there answered lately and refuses no work for now
 * @param quota the requests that this instance may still send there before the next report: its
 *     share of the spare capacity less what it has sent since
 * @param linkFreeBytes the bytes that this instance's share of the link's budget still allows now
 */
public record RegionSummary(
    RegionId region,
    int freeSlots,
    long reportedNanos,
    long roundTripNanos,
    boolean reachable,
    int quota,
    long linkFreeBytes) {

  /** Makes a summary whose quota is all spare capacity, with no limit on the link. */
  public RegionSummary(
      RegionId region, int freeSlots, long reportedNanos, long roundTripNanos, boolean reachable) {
    this(region, freeSlots, reportedNanos, roundTripNanos, reachable, freeSlots, Long.MAX_VALUE);
  }
}
