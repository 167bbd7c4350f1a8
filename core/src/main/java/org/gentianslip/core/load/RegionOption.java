package org.gentianslip.core.load;

import org.gentianslip.core.id.RegionId;

/**
 * Tells what another region can do for a request. Immutable and safe for use by several threads.
 *
 * @param region the region
 * @param waitMillis the wait that its instances expect, in milliseconds
 * @param roundTripMillis the way there and back, in milliseconds
 */
public record RegionOption(RegionId region, double waitMillis, double roundTripMillis) {}
