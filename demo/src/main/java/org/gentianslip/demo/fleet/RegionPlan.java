package org.gentianslip.demo.fleet;

import org.gentianslip.core.id.RegionId;

/**
 * How many processes of each type a region has.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id the region
 * @param entries the number of entry instances
 * @param engines the number of model engines
 * @param services the number of servers of the plain service
 */
public record RegionPlan(RegionId id, int entries, int engines, int services) {

  /**
   * Checks the numbers.
   *
   * @throws IllegalArgumentException if a number is negative
   */
  public RegionPlan {
    if (entries < 0 || engines < 0 || services < 0) {
      throw new IllegalArgumentException(
          "numbers of processes must not be negative, but are %d, %d and %d"
              .formatted(entries, engines, services));
    }
  }

  /** Returns a region with the given numbers of processes. */
  public static RegionPlan of(String id, int entries, int engines, int services) {
    return new RegionPlan(RegionId.of(id), entries, engines, services);
  }
}
