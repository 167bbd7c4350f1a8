package org.gentianslip.core.load;

import org.gentianslip.core.id.RegionId;

/**
 * Another region that may serve a request. Immutable and thread-safe.
 *
 * @param region the region
 * @param waitMillis the queueing time that its instances expect, in milliseconds
 * @param roundTripMillis the network round trip to the region, in milliseconds
 * @param hasPrompt whether one of its engines has prefilled the shared part of the prompt
 */
public record RegionOption(
    RegionId region, double waitMillis, double roundTripMillis, boolean hasPrompt) {}
