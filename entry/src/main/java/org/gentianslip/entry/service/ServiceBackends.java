package org.gentianslip.entry.service;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.membership.RendezvousHash;
import org.gentianslip.entry.configservice.BackendRecord;
import org.gentianslip.entry.state.FleetState;

/**
 * Selects the backend server of a service call.
 *
 * <p>A backend server that refused a call because it is leaving receives no more calls from this
 * instance, and is reported to the peers in hellos. Safe for use by several threads.
 */
final class ServiceBackends {

  private static final String LEAVING = "leaving";

  private final FleetState state;

  ServiceBackends(FleetState state) {
    this.state = state;
  }

  /** Returns the backend server to call next; servers that the call was not sent to come first. */
  Optional<BackendRecord> next(long nowNanos, ServiceExchange exchange) {
    return orderedBackends(nowNanos, exchange).stream().findFirst();
  }

  /** Returns the next backend server that the call was not sent to, if there is one. */
  Optional<BackendRecord> nextUntried(long nowNanos, ServiceExchange exchange) {
    return next(nowNanos, exchange).filter(backend -> !exchange.wasTried(backend.id()));
  }

  /** Records that a backend server refused a call before starting it. */
  void applyRefusal(long nowNanos, ServiceExchange exchange, BackendRecord backend, String code) {
    exchange.step(nowNanos, "service-refused", backend.id(), code);
    if (code.equals(LEAVING)) {
      state.engines().markLeaving(EngineId.of(backend.id()), nowNanos);
    }
  }

  private List<BackendRecord> orderedBackends(long nowNanos, ServiceExchange exchange) {
    ServiceCall call = exchange.call();
    return state.serviceBackends(nowNanos, call.service().id().value()).stream()
        .sorted(
            Comparator.comparing((BackendRecord backend) -> exchange.wasTried(backend.id()))
                .thenComparingLong(backend -> RendezvousHash.hash(call.id().value(), backend.id())))
        .toList();
  }
}
