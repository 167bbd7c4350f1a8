package org.gentianslip.core.load;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.id.InstanceId;

/**
 * Sums the loads that other instances put on one backend server.
 *
 * <p>The sums are updated with each report, so the cost of reading them does not depend on the
 * number of instances. Not thread-safe.
 */
final class PeerLoads {

  /** How long a report of another instance's load counts: several intervals between hellos. */
  private static final long MAX_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private final Map<InstanceId, PeerLoad> loads = new HashMap<>();
  private int running;
  private double urgentPrefillMillis;
  private double otherPrefillMillis;

  /** A lower bound on the receipt time of all loads that count. */
  private long oldestReceivedNanos;

  /** Records the load of another instance. */
  void record(InstanceId peer, PeerLoad load) {
    boolean first = loads.isEmpty();
    oldestReceivedNanos =
        first || load.receivedNanos() - oldestReceivedNanos < 0
            ? load.receivedNanos()
            : oldestReceivedNanos;
    PeerLoad previous = loads.put(peer, load);
    add(load, 1);
    if (previous != null) {
      add(previous, -1);
    }
  }

  /** Drops the loads whose reports are too old. */
  void dropExpired(long nowNanos) {
    if (loads.isEmpty() || nowNanos - oldestReceivedNanos <= MAX_AGE_NANOS) {
      return;
    }
    loads.values().removeIf(l -> nowNanos - l.receivedNanos() > MAX_AGE_NANOS);
    running = 0;
    urgentPrefillMillis = 0;
    otherPrefillMillis = 0;
    oldestReceivedNanos = nowNanos;
    for (PeerLoad load : loads.values()) {
      add(load, 1);
      oldestReceivedNanos =
          load.receivedNanos() - oldestReceivedNanos < 0
              ? load.receivedNanos()
              : oldestReceivedNanos;
    }
  }

  private void add(PeerLoad load, int sign) {
    running += sign * load.running();
    urgentPrefillMillis += sign * load.urgentPrefillMillis();
    otherPrefillMillis += sign * load.otherPrefillMillis();
  }

  /** Returns the number of requests that have not ended. */
  int running() {
    return running;
  }

  /** Returns the outstanding prefill time of urgent requests, in milliseconds. */
  double urgentPrefillMillis() {
    return urgentPrefillMillis;
  }

  /** Returns the outstanding prefill time of other requests, in milliseconds. */
  double otherPrefillMillis() {
    return otherPrefillMillis;
  }
}
