package org.gentianslip.load.run;

import org.gentianslip.core.id.RegionId;
import org.gentianslip.load.call.EntryFinder;

/**
 * The callers of one region.
 *
 * <p>Immutable and thread-safe.
 *
 * @param region the region of the callers
 * @param finder finds the entries to call
 * @param weight the relative share of arrivals, above 0
 */
public record CallerGroup(RegionId region, EntryFinder finder, double weight) {

  /**
   * Validates the weight.
   *
   * @throws IllegalArgumentException if the weight is not above 0
   */
  public CallerGroup {
    if (!(weight > 0)) {
      throw new IllegalArgumentException("weight must be above 0, but is " + weight);
    }
  }
}
