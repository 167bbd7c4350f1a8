package org.gentianslip.bench.fleet;

import java.util.List;
import org.gentianslip.core.id.Rank;

/**
 * The specification of a simulated fleet.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name, as given on the command line
 * @param regions the regions
 * @param kinds one kind of work for each rank
 * @param engine the specification of every engine
 * @param intraRegionOneWayNanos the one-way latency between an entry and an engine of the same
 *     region, in nanoseconds
 * @param interRegionOneWayNanos the one-way latency between regions, in nanoseconds
 * @param callerOneWayNanos the one-way latency between callers and entries, in nanoseconds
 * @param linkBitsPerSecond the capacity of a link between two regions in each direction, in bits
 *     per second
 * @param customersPerRegion the number of customers in each region
 */
public record FleetSpec(
    String name,
    List<RegionSpec> regions,
    List<KindSpec> kinds,
    EngineSpec engine,
    long intraRegionOneWayNanos,
    long interRegionOneWayNanos,
    long callerOneWayNanos,
    long linkBitsPerSecond,
    int customersPerRegion) {

  /** Copies the lists. */
  public FleetSpec {
    regions = List.copyOf(regions);
    kinds = List.copyOf(kinds);
  }

  /** Returns the kind of work of a rank. */
  public KindSpec kind(Rank rank) {
    return kinds.stream().filter(kind -> kind.rank() == rank).findFirst().orElseThrow();
  }

  /** Returns the number of model engines in all regions. */
  public int engineCount() {
    return regions.stream().mapToInt(RegionSpec::engineCount).sum();
  }
}
