package org.gentianslip.load.run;

import org.gentianslip.core.id.RegionId;
import org.gentianslip.load.call.EntryFinder;

/**
 * The callers of one region.
 *
 * <p>Immutable; safe for use by several threads if the finder is.
 *
 * @param region where the callers are
 * @param finder finds the entries that they use
 * @param weight the group's weight among the groups of a run, above 0
 */
public record CallerGroup(RegionId region, EntryFinder finder, double weight) {

  /**
   * Checks the weight.
   *
   * @throws IllegalArgumentException if the weight is not above 0
   */
  public CallerGroup {
    if (!(weight > 0)) {
      throw new IllegalArgumentException("weight must be above 0, but is " + weight);
    }
  }
}
