package org.gentianslip.core.routing;

import java.util.Set;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.ModelId;

/**
 * The state of one model engine of the local region, as far as this instance knows it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the id of the engine
 * @param models the models that the engine serves
 * @param slots the maximum number of requests that the engine runs at once
 * @param inFlight the number of requests that this instance has sent to the engine and that have
 *     not ended
 * @param reportedRunning the number of requests that the engine runs by its last report, from all
 *     instances
 * @param reportedWaiting the number of requests that wait in the engine by its last report, from
 *     all instances
 * @param reportedNanos when the last report was made, in nanoseconds of the monotonic clock
 * @param usable whether new work may be sent to the engine: it is live, not leaving and not
 *     suspected of having failed
 * @param limit the maximum number of requests that this instance may have in flight at the engine:
 *     this instance's share of the slots
 * @param sentSinceReport the number of requests that this instance has sent to the engine since the
 *     last report
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

  /** Creates a view with a copy of the set of models. */
  public EngineView {
    models = Set.copyOf(models);
  }

  /** Creates a view whose limit is the number of slots, without requests sent since the report. */
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
   * Returns the best estimate of the number of requests that the engine runs or queues, from all
   * instances.
   */
  public int load() {
    return Math.max(inFlight, reportedRunning + reportedWaiting + sentSinceReport);
  }

  /** Returns whether this instance may send one more request to the engine. */
  public boolean hasCapacity() {
    return usable && inFlight < limit;
  }

  /** Returns whether the engine accepts new work and serves the model. */
  boolean serves(ModelId model) {
    return usable && models.contains(model);
  }
}
