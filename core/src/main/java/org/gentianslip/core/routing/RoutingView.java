package org.gentianslip.core.routing;

import java.util.List;
import java.util.Objects;
import org.gentianslip.core.id.RegionId;

/**
 * The input of a routing decision: the engines of the local region, the other regions and the
 * queue.
 *
 * <p>Immutable and thread-safe.
 *
 * @param ownRegion the region of this instance
 * @param engines the engines of the local region
 * @param regions the other regions
 * @param queue the state of the queue
 */
public record RoutingView(
    RegionId ownRegion, List<EngineView> engines, List<RegionSummary> regions, QueueView queue) {

  /** Creates a view with copies of the lists. */
  public RoutingView {
    Objects.requireNonNull(ownRegion);
    engines = List.copyOf(engines);
    regions = List.copyOf(regions);
    Objects.requireNonNull(queue);
  }

  /** Creates a view with an empty queue. */
  public RoutingView(RegionId ownRegion, List<EngineView> engines, List<RegionSummary> regions) {
    this(ownRegion, engines, regions, QueueView.EMPTY);
  }

  /** Returns a copy with the given state of the queue. */
  public RoutingView withQueue(QueueView current) {
    return new RoutingView(ownRegion, engines, regions, current);
  }
}
