package org.gentianslip.settings;

import org.gentianslip.core.id.RegionId;

/**
 * The declared network link between two regions.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param first one of the two regions
 * @param second the other region
 * @param oneWayMillis the one-way latency, in milliseconds
 * @param megabitsPerSecond the capacity of each direction, in megabits per second
 */
public record RegionLink(
    RegionId first, RegionId second, int oneWayMillis, int megabitsPerSecond) {}
