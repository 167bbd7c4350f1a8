package org.gentianslip.settings;

import java.util.Map;
import org.gentianslip.core.id.RegionId;

/**
 * The values that apply to whole instances of each region.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param byRegion the values for each region
 * @param undeclaredRegions the values for regions that are not declared
 */
record InstanceValues(Map<RegionId, ResolvedValues> byRegion, ResolvedValues undeclaredRegions) {

  InstanceValues {
    byRegion = Map.copyOf(byRegion);
  }

  /** Returns the values for an instance of a region. */
  ResolvedValues find(RegionId region) {
    return byRegion.getOrDefault(region, undeclaredRegions);
  }
}
