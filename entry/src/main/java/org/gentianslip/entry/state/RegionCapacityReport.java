package org.gentianslip.entry.state;

import org.gentianslip.core.id.RegionId;

/**
 * The latest report of another region's spare capacity.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param region the region
 * @param freeSlots the number of requests that its engines can accept in addition to those that
 *     they run
 * @param seenNanos when the report was made, in nanoseconds of this instance's monotonic clock
 * @param roundTripNanos the round-trip time to the region, in nanoseconds, 0 if unknown
 */
public record RegionCapacityReport(
    RegionId region, int freeSlots, long seenNanos, long roundTripNanos) {

  /** Returns this report, with the given round-trip time if it has none of its own. */
  RegionCapacityReport withDefaultRoundTrip(long defaultNanos) {
    return roundTripNanos > 0
        ? this
        : new RegionCapacityReport(region, freeSlots, seenNanos, defaultNanos);
  }
}
