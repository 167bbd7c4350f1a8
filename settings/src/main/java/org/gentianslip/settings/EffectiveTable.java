package org.gentianslip.settings;

import java.util.Map;
import org.gentianslip.core.id.KindId;
import org.gentianslip.core.id.RegionId;

/**
 * Holds the values in force for each region and kind of work that some branch distinguishes.
 *
 * <p>A lookup allocates nothing. Immutable and safe for use by several threads.
 *
 * @param byRegion the values for each region
 * @param elsewhere the values for regions that are not declared
 */
record EffectiveTable(Map<RegionId, ByKind> byRegion, ByKind elsewhere) {

  EffectiveTable {
    byRegion = Map.copyOf(byRegion);
  }

  /** Returns the values for a request. */
  ResolvedValues find(RegionId region, KindId kind) {
    ByKind kinds = byRegion.getOrDefault(region, elsewhere);
    return kinds.byKind().getOrDefault(kind, kinds.others());
  }

  /**
   * Holds the values for each kind of work in one region.
   *
   * @param byKind the values for each kind that some branch names
   * @param others the values for other kinds
   */
  record ByKind(Map<KindId, ResolvedValues> byKind, ResolvedValues others) {
    ByKind {
      byKind = Map.copyOf(byKind);
    }
  }
}
