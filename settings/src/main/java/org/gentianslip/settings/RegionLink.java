package org.gentianslip.settings;

import org.gentianslip.core.id.RegionId;

/**
 * Describes the link between two regions.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param first one end
 * @param second the other end
 * @param oneWayMillis the latency one way, in milliseconds
 * @param megabitsPerSecond the capacity each way, in megabits per second
 */
public record RegionLink(
    RegionId first, RegionId second, int oneWayMillis, int megabitsPerSecond) {}
