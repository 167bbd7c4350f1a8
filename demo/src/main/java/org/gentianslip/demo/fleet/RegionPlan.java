package org.gentianslip.demo.fleet;

import org.gentianslip.core.id.RegionId;

/**
 * The numbers of processes of each type in a region.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the id of the region
 * @param entries the number of entry instances
 * @param engines the number of model engines
 * @param services the number of servers of the plain service
 */
public record RegionPlan(RegionId id, int entries, int engines, int services) {

  /**
   * Validates the numbers.
   *
   * @throws IllegalArgumentException if a number is negative
   */
  public RegionPlan {
    if (entries < 0 || engines < 0 || services < 0) {
      throw new IllegalArgumentException(
          "entries, engines and services must not be negative, but are %d, %d and %d"
              .formatted(entries, engines, services));
    }
  }

  /** Returns the plan of a region with the given numbers of processes. */
  public static RegionPlan of(String id, int entries, int engines, int services) {
    return new RegionPlan(RegionId.of(id), entries, engines, services);
  }
}
