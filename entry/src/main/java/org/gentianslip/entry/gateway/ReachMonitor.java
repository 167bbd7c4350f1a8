package org.gentianslip.entry.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.load.BackendLoad;
import org.gentianslip.core.load.ServiceReach;
import org.gentianslip.core.published.Backend;

/**
 * Learns from connections which services this instance reaches, and tries some itself where the
 * requests don't show it. Safe for use by several threads, except for {@link #update}.
 */
final class ReachMonitor {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** How long nothing is heard of a backend server with requests before a connection is tried. */
  private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  private final Gateway gateway;
  private final Map<ServiceId, ServiceReach.State> logged = new ConcurrentHashMap<>();

  /** Since when a backend server with requests was not heard; used by {@link #update} only. */
  private final Map<EngineId, Long> silentSince = new HashMap<>();

  ReachMonitor(Gateway gateway) {
    this.gateway = gateway;
  }

  private GatewayState state() {
    return gateway.state();
  }

  /** Records that a connection to a backend server was established. */
  void recordReached(long nowNanos, Backend backend) {
    state().reach().recordReached(nowNanos, backend.service());
    logChange(nowNanos, backend.service());
  }

  /** Records that a connection was not established although the event loop was on time. */
  void recordFailed(long nowNanos, EventLoop loop, Backend backend) {
    if (state().processor().isDelayed(nowNanos)) {
      return;
    }
    ServiceId service = backend.service();
    Map<EngineId, Backend> known = state().localBackends(service);
    state().reach().recordFailed(nowNanos, service, backend.id(), known.keySet());
    logChange(nowNanos, service);
    tryServers(nowNanos, loop, service, known);
  }

  /** Tries a connection to a backend server. */
  void check(EventLoop loop, Backend backend) {
    gateway
        .client(loop)
        .crashDetector()
        .check(backend, reachable -> conclude(loop, backend, reachable));
  }

  private void conclude(EventLoop loop, Backend backend, boolean reachable) {
    long now = System.nanoTime();
    if (reachable) {
      recordReached(now, backend);
    } else {
      recordFailed(now, loop, backend);
    }
  }

  private void tryServers(
      long nowNanos, EventLoop loop, ServiceId service, Map<EngineId, Backend> known) {
    for (EngineId id : state().reach().pollTrials(nowNanos, service, known.keySet())) {
      check(loop, known.get(id));
    }
  }

  /**
   * Tries connections to services that are not reached and to silent backend servers; must be
   * called several times a second, by one thread.
   */
  void update(long nowNanos, EventLoop loop) {
    for (ServiceId service : state().reach().doubted()) {
      Map<EngineId, Backend> known = state().localBackends(service);
      state().reach().update(nowNanos, service, known.keySet());
      logChange(nowNanos, service);
      loop.execute(() -> tryServers(System.nanoTime(), loop, service, known));
    }
    state()
        .loads()
        .forEach(
            (id, load) -> {
              if (isSilent(nowNanos, id, load)) {
                state().localBackend(id).ifPresent(b -> loop.execute(() -> check(loop, b)));
              }
            });
    silentSince.keySet().retainAll(state().loads().keySet());
  }

  /** Returns whether a server with requests was not heard for long, once for each such time. */
  private boolean isSilent(long nowNanos, EngineId id, BackendLoad load) {
    if (load.localLoad(nowNanos).running() == 0) {
      silentSince.remove(id);
      return false;
    }
    long since = silentSince.computeIfAbsent(id, i -> nowNanos);
    long heardNanos = gateway.engineContacts().heardNanos(nowNanos, id).get();
    if (heardNanos - since > 0) {
      silentSince.put(id, nowNanos);
      return false;
    }
    if (nowNanos - since < SILENCE_NANOS) {
      return false;
    }
    silentSince.put(id, nowNanos);
    return true;
  }

  private void logChange(long nowNanos, ServiceId service) {
    ServiceReach reach = state().reach();
    ServiceReach.State next = reach.state(service);
    ServiceReach.State before = logged.put(service, next);
    boolean first = before == null && next == ServiceReach.State.REACHED;
    if (next == before || first) {
      return;
    }
    LOGGER.atInfo().log(
        "gateway: event=reachability service=%s state=%s before=%s failed=%s servers=%s"
            + " reached-age=%s neighbours=%s loop-delay=%s",
        service,
        next,
        before,
        reach.failed(service),
        state().localBackends(service).size(),
        TimeUnit.NANOSECONDS.toMillis(reach.reachedAgeNanos(nowNanos, service)),
        state().forwardTargets().reachingNeighbours(nowNanos, service).size(),
        TimeUnit.NANOSECONDS.toMillis(state().processor().delayNanos(nowNanos)));
  }
}
