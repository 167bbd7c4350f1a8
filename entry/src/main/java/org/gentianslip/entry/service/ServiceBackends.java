package org.gentianslip.entry.service;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.membership.RendezvousHash;
import org.gentianslip.entry.configservice.BackendRecord;
import org.gentianslip.entry.state.FleetState;

/**
 * Chooses the backend server of a service call.
 *
 * <p>A backend server that said that it is leaving gets no further call of this instance, and the
 * peers are told of it. Safe for use by several threads.
 */
final class ServiceBackends {

  private static final String LEAVING = "leaving";

  private final FleetState state;

  ServiceBackends(FleetState state) {
    this.state = state;
  }

  /** Returns the backend server to call first or next; those tried before come last. */
  Optional<BackendRecord> next(long nowNanos, ServiceExchange exchange) {
    return ordered(nowNanos, exchange).stream().findFirst();
  }

  /** Returns a backend server that the call was not sent to before. */
  Optional<BackendRecord> untried(long nowNanos, ServiceExchange exchange) {
    return next(nowNanos, exchange).filter(b -> !exchange.tried(b.id()));
  }

  /** Takes that a backend server refused a call before its start. */
  void refused(long nowNanos, ServiceExchange exchange, BackendRecord backend, String code) {
    exchange.step(nowNanos, "service-refused", backend.id(), code);
    if (code.equals(LEAVING)) {
      state.engines().markLeaving(EngineId.of(backend.id()), nowNanos);
    }
  }

  private List<BackendRecord> ordered(long nowNanos, ServiceExchange exchange) {
    ServiceCall call = exchange.call();
    return state.serviceBackends(nowNanos, call.service().id().value()).stream()
        .sorted(
            Comparator.comparing((BackendRecord b) -> exchange.tried(b.id()))
                .thenComparingLong(b -> RendezvousHash.hash(call.id().value(), b.id())))
        .toList();
  }
}
