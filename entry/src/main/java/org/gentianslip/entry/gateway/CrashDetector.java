package org.gentianslip.entry.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.published.Backend;

/**
 * Tells a backend server that is down from one that broke off an exchange and goes on.
 *
 * <p>After an exchange broke, a new connection is tried, one at a time for each backend server.
 * Confined to one event loop.
 */
final class CrashDetector {

  /** The time after which a backend server that does not accept a connection is down. */
  private static final int CONNECT_MILLIS = 350;

  private final BackendClient client;
  private final Map<EngineId, List<Runnable>> pending = new HashMap<>();

  CrashDetector(BackendClient client) {
    this.client = client;
  }

  /** Runs an action later if the backend server is down. */
  void ifDown(Backend backend, Runnable action) {
    List<Runnable> waiting = pending.get(backend.id());
    if (waiting != null) {
      waiting.add(action);
      return;
    }
    pending.put(backend.id(), new ArrayList<>(List.of(action)));
    client.checkReachable(
        backend.address(), CONNECT_MILLIS, reachable -> conclude(backend.id(), reachable));
  }

  private void conclude(EngineId backend, boolean reachable) {
    List<Runnable> waiting = pending.remove(backend);
    if (!reachable) {
      waiting.forEach(Runnable::run);
    }
  }
}
