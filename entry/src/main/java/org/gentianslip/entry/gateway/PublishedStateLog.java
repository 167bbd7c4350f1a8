package org.gentianslip.entry.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.published.Backend;
import org.gentianslip.core.published.PublishedState;
import org.gentianslip.core.route.RegionConflict;
import org.gentianslip.core.route.RouteTable;

/** Logs changes of the published state. Stateless. */
final class PublishedStateLog {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** The conflicts of one configuration that are logged, at most. */
  private static final int MAX_CONFLICTS = 16;

  private PublishedStateLog() {}

  static void logChanges(PublishedState before, PublishedState after) {
    long versionBefore = before.routes().map(RouteTable::version).orElse(0L);
    long versionAfter = after.routes().map(RouteTable::version).orElse(0L);
    if (versionBefore != versionAfter) {
      LOGGER.atInfo().log(
          "gateway: event=configuration version=%s before=%s revision=%s routes=%s",
          versionAfter,
          versionBefore,
          after.revision(),
          after.routes().map(RouteTable::size).orElse(0));
      var known = before.routes().map(RouteTable::regionConflicts).orElse(List.of());
      after
          .routes()
          .filter(t -> !t.regionConflicts().equals(known))
          .ifPresent(PublishedStateLog::logConflicts);
    }
    Map<EngineId, String> changes = new HashMap<>();
    after.backends().forEach((id, b) -> changes.put(id, stateOf(after, b)));
    before.backends().forEach((id, b) -> changes.remove(id, stateOf(before, b)));
    for (EngineId id : before.backends().keySet()) {
      if (!after.backends().containsKey(id)) {
        changes.put(id, "gone");
      }
    }
    changes.forEach(
        (id, state) ->
            LOGGER.atInfo().log(
                "gateway: event=backend id=%s state=%s revision=%s", id, state, after.revision()));
  }

  private static void logConflicts(RouteTable table) {
    List<RegionConflict> conflicts = table.regionConflicts();
    for (RegionConflict c : conflicts.subList(0, Math.min(MAX_CONFLICTS, conflicts.size()))) {
      LOGGER.atWarning().log(
          "gateway: event=no-common-region version=%s route=%s regions=%s customer=%s"
              + " regions-of-customer=%s conflicts=%s",
          table.version(),
          c.route(),
          c.routeRegions(),
          c.customer(),
          c.customerRegions(),
          table.regionConflictCount());
    }
  }

  private static String stateOf(PublishedState state, Backend b) {
    if (state.evacuated().contains(b.dataCentre())) {
      return "evacuated";
    }
    return b.leaving() ? "leaving" : "ready";
  }
}
