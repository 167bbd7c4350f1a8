package org.gentianslip.bench.fleet;

import org.gentianslip.core.id.RegionId;

/**
 * Describes a region. Immutable and safe for use by several threads.
 *
 * @param id the region
 * @param engines the number of its model engines
 * @param entries the number of its entries
 */
public record RegionSpec(RegionId id, int engines, int entries) {}
