package org.gentianslip.entry.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.Map;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.published.Backend;
import org.gentianslip.core.published.PublishedState;
import org.gentianslip.core.route.RouteTable;

/** Writes what has changed in the published state to the log. Stateless. */
final class PublishedStateLog {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private PublishedStateLog() {}

  static void report(PublishedState before, PublishedState after) {
    long old = before.routes().map(RouteTable::version).orElse(0L);
    long now = after.routes().map(RouteTable::version).orElse(0L);
    if (old != now) {
      LOGGER.atInfo().log(
          "gateway: event=configuration version=%s before=%s revision=%s routes=%s",
          now, old, after.revision(), after.routes().map(RouteTable::size).orElse(0));
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

  private static String stateOf(PublishedState state, Backend b) {
    if (state.evacuated().contains(b.dataCentre())) {
      return "evacuated";
    }
    return b.leaving() ? "leaving" : "ready";
  }
}
