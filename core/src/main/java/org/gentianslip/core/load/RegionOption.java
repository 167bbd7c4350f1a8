package org.gentianslip.core.load;

import org.gentianslip.core.id.RegionId;

/**
 * Tells what another region can do for a request. Immutable and safe for use by several threads.
 *
 * @param region the region
 * @param waitMillis the wait that its instances expect, in milliseconds
 * @param roundTripMillis the way there and back, in milliseconds
 * @param hasPrompt whether one of its engines has read the shared part of the prompt
 */
public record RegionOption(
    RegionId region, double waitMillis, double roundTripMillis, boolean hasPrompt) {}
