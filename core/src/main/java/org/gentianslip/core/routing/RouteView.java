package org.gentianslip.core.routing;

import java.util.List;
import java.util.Objects;
import org.gentianslip.core.id.RegionId;

/**
 * Holds what a routing decision may look at: the engines of the own region and the other regions.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param ownRegion the region of this instance
 * @param engines the engines of the own region
 * @param regions the other regions
 * @param waits how long the backlog of each rank takes to drain here
 */
public record RouteView(
    RegionId ownRegion, List<EngineView> engines, List<RegionSummary> regions, BacklogWaits waits) {

  /** Copies the lists. */
  public RouteView {
    Objects.requireNonNull(ownRegion);
    engines = List.copyOf(engines);
    regions = List.copyOf(regions);
    Objects.requireNonNull(waits);
  }

  /** Makes a view with no backlog. */
  public RouteView(RegionId ownRegion, List<EngineView> engines, List<RegionSummary> regions) {
    this(ownRegion, engines, regions, BacklogWaits.NONE);
  }

  /** Returns the same view with another backlog. */
  public RouteView withWaits(BacklogWaits others) {
    return new RouteView(ownRegion, engines, regions, others);
  }
}
