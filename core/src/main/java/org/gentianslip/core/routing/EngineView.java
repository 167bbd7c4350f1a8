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
 * @param limit the greatest number of requests that this instance may have in flight there; it is
 *     this instance's share of the slots
 * @param sentSinceReport the requests that this instance has sent to it since the last report
 */
public record EngineView(
    EngineId id,
    Set<ModelId> models,
    int slots,
    int inFlight,
    int reportedRunning,
    int reportedWaiting,
    long reportedNanos,
    boolean usable,
    int limit,
    int sentSinceReport) {

  /** Copies the set of models. */
  public EngineView {
    models = Set.copyOf(models);
  }

  /** Makes a view whose limit is the number of slots and that has sent nothing since the report. */
  public EngineView(
      EngineId id,
      Set<ModelId> models,
      int slots,
      int inFlight,
      int reportedRunning,
      int reportedWaiting,
      long reportedNanos,
      boolean usable) {
    this(
        id,
        models,
        slots,
        inFlight,
        reportedRunning,
        reportedWaiting,
        reportedNanos,
        usable,
        slots,
        0);
  }

  /**
   * Returns the best estimate of the requests that the engine runs or holds, from all instances.
   */
  public int load() {
    return Math.max(inFlight, reportedRunning + reportedWaiting + sentSinceReport);
  }

  /** Returns whether this instance may send one more request there. */
  public boolean hasRoom() {
    return usable && inFlight < limit;
  }

  /** Returns whether the engine takes new work and serves the model. */
  boolean serves(ModelId model) {
    return usable && models.contains(model);
  }
}
