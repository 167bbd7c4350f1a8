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
 * Holds the model engines of the own region.
 *
 * <p>A new list replaces the map as a whole; what was learned of an engine that stays is kept. Safe
 * for use by several threads.
 */
public final class EngineTable {

  private final RegionId region;
  private final AtomicReference<Map<EngineId, EngineState>> engines =
      new AtomicReference<>(Map.of());
  private final AtomicReference<LeavingMarks> marks = new AtomicReference<>(LeavingMarks.none());

  /** Creates an empty table for a region. */
  public EngineTable(RegionId region) {
    this.region = region;
  }

  /** Takes a list of the platform. */
  public synchronized void update(long nowNanos, InstanceList list) {
    Map<EngineId, EngineState> old = engines.get();
    Map<EngineId, EngineState> next = new TreeMap<>();
    for (BackendRecord record : list.backends()) {
      if (record.model() && record.region().equals(region.value())) {
        EngineState known = old.get(EngineId.of(record.id()));
        EngineState state = known == null ? new EngineState(nowNanos, record) : known;
        state.relist(record);
        next.put(state.id(), state);
      }
    }
    engines.set(next);
  }

  /** Takes this instance's place among those that share the engines. */
  public void takeShare(long nowNanos, EngineShare share) {
    engines.get().values().forEach(e -> e.takeShare(nowNanos, share));
  }

  /** Returns the engines in the order of their ids. */
  public List<EngineState> engines() {
    return List.copyOf(engines.get().values());
  }

  /** Returns an engine, or null if it is not listed. */
  public EngineState get(EngineId id) {
    return engines.get().get(id);
  }

  /** Returns what the routing policy may know. */
  public List<EngineView> views(long nowNanos) {
    LeavingMarks known = marks.get();
    List<EngineView> views = new ArrayList<>();
    for (EngineState engine : engines.get().values()) {
      views.add(engine.view(nowNanos, known.isLeaving(nowNanos, engine.id())));
    }
    return views;
  }

  /** Returns what the routing policy may know of one engine. */
  public EngineView view(long nowNanos, EngineState engine) {
    return engine.view(nowNanos, marks.get().isLeaving(nowNanos, engine.id()));
  }

  /** Returns the requests that the engines can take on top of what they run. */
  public int freeSlots(long nowNanos) {
    int free = 0;
    for (EngineView view : views(nowNanos)) {
      if (view.usable()) {
        free += Math.max(0, view.slots() - view.load());
      }
    }
    return free;
  }

  /** Returns whether an engine is known to be leaving. */
  public boolean leaving(long nowNanos, EngineState engine) {
    return engine.saysLeaving() || marks.get().isLeaving(nowNanos, engine.id());
  }

  /** Returns whether a backend server of any type was seen to be leaving lately. */
  public boolean isMarked(long nowNanos, EngineId backend) {
    return marks.get().isLeaving(nowNanos, backend);
  }

  /**
   * Takes that an engine or another backend server was seen to be leaving.
   *
   * @param seenNanos when it was seen, in nanoseconds of the monotonic clock
   * @return whether this is news, to be passed on
   */
  public boolean markLeaving(EngineId engine, long seenNanos) {
    while (true) {
      LeavingMarks now = marks.get();
      var next = now.with(engine, seenNanos);
      if (next.isEmpty()) {
        return false;
      }
      if (marks.compareAndSet(now, next.get())) {
        return true;
      }
    }
  }

  /**
   * Takes an engine's load report.
   *
   * @param ownInFlight the requests of this instance in flight when the report was asked for
   * @return whether it shows that the engine is leaving, and this is news
   */
  public boolean applyReport(long nowNanos, EngineState engine, EngineLoad load, int ownInFlight) {
    engine.report(load, ownInFlight);
    if (load.leaving()) {
      return markLeaving(engine.id(), nowNanos);
    }
    marks.updateAndGet(m -> m.withLive(nowNanos, engine.id()));
    return false;
  }

  /** Returns the marks to pass on. */
  public Collection<LeavingMark> marks(long nowNanos) {
    LeavingMarks known = marks.get();
    return known.marks().stream().filter(m -> known.isLeaving(nowNanos, m.engine())).toList();
  }

  /** Forgets all load reports, after a pause of this process. */
  public void forgetLoads() {
    engines.get().values().forEach(EngineState::forgetLoad);
  }
}
