package org.gentianslip.entry.state;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.routing.EngineView;
import org.gentianslip.entry.platform.BackendRecord;
import org.gentianslip.entry.platform.InstanceList;

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

  /** Creates an empty table for a region. */
  public EngineTable(RegionId region) {
    this.region = region;
  }

  /** Takes a list of the platform. */
  public synchronized void update(InstanceList list) {
    Map<EngineId, EngineState> old = engines.get();
    Map<EngineId, EngineState> next = new TreeMap<>();
    for (BackendRecord record : list.backends()) {
      if (record.model() && record.region().equals(region.value())) {
        EngineState known = old.get(EngineId.of(record.id()));
        EngineState state = known == null ? new EngineState(record) : known.relisted(record);
        next.put(state.id(), state);
      }
    }
    engines.set(next);
  }

  /** Returns the engines in the order of their ids. */
  public List<EngineState> all() {
    return List.copyOf(engines.get().values());
  }

  /** Returns an engine, or null if it is not listed. */
  public EngineState get(EngineId id) {
    return engines.get().get(id);
  }

  /** Returns what the routing policy may know. */
  public List<EngineView> views(long nowNanos) {
    return engines.get().values().stream().map(e -> e.view(nowNanos)).toList();
  }

  /** Returns the requests that the engines can take on top of what they run. */
  public int freeSlots(long nowNanos) {
    int free = 0;
    for (EngineState engine : engines.get().values()) {
      EngineView view = engine.view(nowNanos);
      if (view.usable()) {
        int used = Math.max(view.inFlight(), view.reportedRunning() + view.reportedWaiting());
        free += Math.max(0, view.slots() - used);
      }
    }
    return free;
  }

  /** Returns the ids of the engines that are leaving. */
  public Set<EngineId> leaving() {
    return engines.get().values().stream()
        .filter(EngineState::leaving)
        .map(EngineState::id)
        .collect(Collectors.toUnmodifiableSet());
  }
}
