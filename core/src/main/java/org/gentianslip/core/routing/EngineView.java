package org.gentianslip.core.routing;

import java.util.Set;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.ModelId;

/**
 * Holds what this instance knows of one model engine in its region.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id the id of the engine
 * @param models the models that it serves
 * @param slots the greatest number of requests that it runs at once
 * @param inFlight the requests that this instance has sent to it and that have not ended
 * @param reportedRunning the requests that it runs by its last report, from all instances
 * @param reportedWaiting the requests that wait in it by its last report, from all instances
 * @param reportedNanos when the last report was made, in nanoseconds of the monotonic clock
 * @param usable whether new work may be sent to it: it is live, not leaving and not suspected
 */
public record EngineView(
    EngineId id,
    Set<ModelId> models,
    int slots,
    int inFlight,
    int reportedRunning,
    int reportedWaiting,
    long reportedNanos,
    boolean usable) {

  /** Copies the set of models. */
  public EngineView {
    models = Set.copyOf(models);
  }
}
