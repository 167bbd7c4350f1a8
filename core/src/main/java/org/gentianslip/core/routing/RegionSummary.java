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
 */
public record RegionSummary(
    RegionId region, int freeSlots, long reportedNanos, long roundTripNanos, boolean reachable) {}
