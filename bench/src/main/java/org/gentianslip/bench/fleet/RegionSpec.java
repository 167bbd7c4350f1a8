package org.gentianslip.bench.fleet;

import org.gentianslip.core.id.RegionId;

/**
 * The specification of a region. Immutable and thread-safe.
 *
 * @param id the id of the region
 * @param engineCount the number of its model engines
 * @param entryCount the number of its entries
 */
public record RegionSpec(RegionId id, int engineCount, int entryCount) {}
