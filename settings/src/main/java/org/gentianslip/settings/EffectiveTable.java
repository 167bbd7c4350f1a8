package org.gentianslip.settings;

import java.util.Map;
import org.gentianslip.core.id.KindId;
import org.gentianslip.core.id.RegionId;

/**
 * The values in force for each region and kind of work that the branches distinguish.
 *
 * <p>A lookup allocates nothing. Immutable and safe for use by several threads.
 *
 * @param byRegion the values for each region
 * @param undeclaredRegions the values for regions that are not declared
 */
record EffectiveTable(Map<RegionId, ByKind> byRegion, ByKind undeclaredRegions) {

  EffectiveTable {
    byRegion = Map.copyOf(byRegion);
  }

  /** Returns the values for a request. */
  ResolvedValues find(RegionId region, KindId kind) {
    ByKind values = byRegion.getOrDefault(region, undeclaredRegions);
    return values.byKind().getOrDefault(kind, values.otherKinds());
  }

  /**
   * The values for each kind of work in one region.
   *
   * @param byKind the values for each kind that a branch names
   * @param otherKinds the values for all other kinds
   */
  record ByKind(Map<KindId, ResolvedValues> byKind, ResolvedValues otherKinds) {
    ByKind {
      byKind = Map.copyOf(byKind);
    }
  }
}
