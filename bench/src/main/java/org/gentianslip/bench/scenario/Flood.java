package org.gentianslip.bench.scenario;

import org.gentianslip.core.id.Rank;

/**
 * Describes a flood: a few customers of each region send far more than the fleet can answer.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param rank the rank of the flood
 * @param timesCapacity the size, as a multiple of each region's capacity
 */
public record Flood(Rank rank, double timesCapacity) {}
