package org.gentianslip.entry.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
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
  private final Map<EngineId, List<Consumer<Boolean>>> pending = new HashMap<>();

  CrashDetector(BackendClient client) {
    this.client = client;
  }

  /** Runs an action later if the backend server is down. */
  void ifDown(Backend backend, Runnable action) {
    check(
        backend,
        reachable -> {
          if (!reachable) {
            action.run();
          }
        });
  }

  /** Tells later whether the backend server accepts a connection. */
  void check(Backend backend, Consumer<Boolean> onResult) {
    List<Consumer<Boolean>> waiting = pending.get(backend.id());
    if (waiting != null) {
      waiting.add(onResult);
      return;
    }
    pending.put(backend.id(), new ArrayList<>(List.of(onResult)));
    client.checkReachable(
        backend.address(), CONNECT_MILLIS, reachable -> conclude(backend.id(), reachable));
  }

  private void conclude(EngineId backend, boolean reachable) {
    pending.remove(backend).forEach(w -> w.accept(reachable));
  }
}
