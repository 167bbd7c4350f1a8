package org.gentianslip.bench.scenario;

import org.gentianslip.core.id.Rank;

/**
 * A flood: a few customers of each region send far more requests than the fleet can answer.
 *
 * <p>Immutable and thread-safe.
 *
 * @param rank the rank of the requests
 * @param capacityMultiple the rate of the requests, as a multiple of the capacity of each region
 */
public record Flood(Rank rank, double capacityMultiple) {}
