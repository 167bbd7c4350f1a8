package org.gentianslip.entry.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicReference;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.limit.EngineShare;
import org.gentianslip.core.membership.LeavingMark;
import org.gentianslip.core.membership.LeavingMarks;
import org.gentianslip.core.routing.EngineView;
import org.gentianslip.entry.configservice.BackendRecord;
import org.gentianslip.entry.configservice.InstanceList;

/**
 * The model engines of the local region.
 *
 * <p>A new instance list replaces the map as a whole; the state of engines that remain listed is
 * kept. Safe for use by several threads.
 */
public final class EngineTable {

  private final RegionId region;
  private final AtomicReference<Map<EngineId, EngineState>> engines =
      new AtomicReference<>(Map.of());
  private final AtomicReference<LeavingMarks> leavingMarks =
      new AtomicReference<>(LeavingMarks.none());

  /** Creates an empty table for a region. */
  public EngineTable(RegionId region) {
    this.region = region;
  }

  /** Applies an instance list. */
  public synchronized void update(long nowNanos, InstanceList list) {
    Map<EngineId, EngineState> previous = engines.get();
    Map<EngineId, EngineState> next = new TreeMap<>();
    for (BackendRecord record : list.backends()) {
      if (record.model() && record.region().equals(region.value())) {
        EngineState known = previous.get(EngineId.of(record.id()));
        EngineState state = known == null ? new EngineState(nowNanos, record) : known;
        state.applyRecord(record);
        next.put(state.id(), state);
      }
    }
    engines.set(next);
  }

  /** Sets this instance's share among the instances that use the engines. */
  public void updateShare(long nowNanos, EngineShare share) {
    engines.get().values().forEach(e -> e.updateShare(nowNanos, share));
  }

  /** Returns the engines in the order of their ids. */
  public List<EngineState> engines() {
    return List.copyOf(engines.get().values());
  }

  /** Returns an engine, or null if it is not listed. */
  public EngineState get(EngineId id) {
    return engines.get().get(id);
  }

  /** Returns the engines as the routing policy sees them. */
  public List<EngineView> views(long nowNanos) {
    LeavingMarks known = leavingMarks.get();
    List<EngineView> views = new ArrayList<>();
    for (EngineState engine : engines.get().values()) {
      views.add(engine.view(nowNanos, known.isLeaving(nowNanos, engine.id())));
    }
    return views;
  }

  /** Returns one engine as the routing policy sees it. */
  public EngineView view(long nowNanos, EngineState engine) {
    return engine.view(nowNanos, leavingMarks.get().isLeaving(nowNanos, engine.id()));
  }

  /**
   * Returns the number of requests that the engines can accept in addition to those that they run.
   */
  public int freeSlots(long nowNanos) {
    int freeSlots = 0;
    for (EngineView view : views(nowNanos)) {
      if (view.usable()) {
        freeSlots += Math.max(0, view.slots() - view.load());
      }
    }
    return freeSlots;
  }

  /** Returns whether an engine is known to be leaving. */
  public boolean isLeaving(long nowNanos, EngineState engine) {
    return engine.reportsLeaving() || leavingMarks.get().isLeaving(nowNanos, engine.id());
  }

  /** Returns whether a backend server of any type was recently marked as leaving. */
  public boolean isMarkedLeaving(long nowNanos, EngineId backend) {
    return leavingMarks.get().isLeaving(nowNanos, backend);
  }

  /**
   * Marks an engine or another backend server as leaving.
   *
   * @param seenNanos when it was seen to be leaving, in nanoseconds of the monotonic clock
   * @return whether the mark is new and should be propagated to the peers
   */
  public boolean markLeaving(EngineId engine, long seenNanos) {
    while (true) {
      LeavingMarks current = leavingMarks.get();
      var next = current.with(engine, seenNanos);
      if (next.isEmpty()) {
        return false;
      }
      if (leavingMarks.compareAndSet(current, next.get())) {
        return true;
      }
    }
  }

  /**
   * Applies an engine's load report.
   *
   * @param ownInFlight the requests of this instance in flight when the report was requested
   * @return whether the report newly marks the engine as leaving, which should be propagated
   */
  public boolean applyReport(
      long nowNanos, EngineState engine, ObservedEngineLoad load, int ownInFlight) {
    engine.applyReport(load, ownInFlight);
    if (load.leaving()) {
      return markLeaving(engine.id(), nowNanos);
    }
    leavingMarks.updateAndGet(m -> m.withLive(nowNanos, engine.id()));
    return false;
  }

  /** Returns the marks of leaving backend servers, to be sent to the peers. */
  public Collection<LeavingMark> leavingMarks(long nowNanos) {
    LeavingMarks known = leavingMarks.get();
    return known.marks().stream().filter(m -> known.isLeaving(nowNanos, m.engine())).toList();
  }

  /** Discards all load reports, after a pause of this process. */
  public void clearLoads() {
    engines.get().values().forEach(EngineState::clearLoad);
  }
}
