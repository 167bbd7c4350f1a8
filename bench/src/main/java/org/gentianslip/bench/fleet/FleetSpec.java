package org.gentianslip.bench.fleet;

import java.util.List;
import org.gentianslip.core.id.Rank;

/**
 * Describes a fleet.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name the name, as given on the command line
 * @param regions the regions
 * @param kinds one kind of work for each rank
 * @param engine the engines
 * @param centreNanos the latency one way in a region, in nanoseconds
 * @param regionNanos the latency one way between regions, in nanoseconds
 * @param callerNanos the latency one way to callers, in nanoseconds
 * @param linkBitsPerSecond what a link between two regions carries each way, in bits a second
 * @param customers the number of customers of a region
 */
public record FleetSpec(
    String name,
    List<RegionSpec> regions,
    List<KindSpec> kinds,
    EngineModel engine,
    long centreNanos,
    long regionNanos,
    long callerNanos,
    long linkBitsPerSecond,
    int customers) {

  /** Copies the lists. */
  public FleetSpec {
    regions = List.copyOf(regions);
    kinds = List.copyOf(kinds);
  }

  /** Returns the kind of work of a rank. */
  public KindSpec kind(Rank rank) {
    return kinds.stream().filter(k -> k.rank() == rank).findFirst().orElseThrow();
  }

  /** Returns the number of model engines. */
  public int engines() {
    return regions.stream().mapToInt(RegionSpec::engines).sum();
  }
}
