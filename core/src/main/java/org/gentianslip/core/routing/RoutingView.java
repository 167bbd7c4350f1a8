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
 * @param queue what waits here
 */
public record RoutingView(
    RegionId ownRegion, List<EngineView> engines, List<RegionSummary> regions, QueueView queue) {

  /** Copies the lists. */
  public RoutingView {
    Objects.requireNonNull(ownRegion);
    engines = List.copyOf(engines);
    regions = List.copyOf(regions);
    Objects.requireNonNull(queue);
  }

  /** Makes a view with an empty queue. */
  public RoutingView(RegionId ownRegion, List<EngineView> engines, List<RegionSummary> regions) {
    this(ownRegion, engines, regions, QueueView.EMPTY);
  }

  /** Returns the same view with another state of the queue. */
  public RoutingView withQueue(QueueView current) {
    return new RoutingView(ownRegion, engines, regions, current);
  }
}
