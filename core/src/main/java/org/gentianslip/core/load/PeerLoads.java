package org.gentianslip.core.load;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.id.InstanceId;

/**
 * Sums the loads that other instances put on one backend server.
 *
 * <p>The sums are kept as news comes in, so that reading them does not grow with the instances. Not
 * safe for use by several threads.
 */
final class PeerLoads {

  /** How long news of another instance's load counts: several rounds of the exchange. */
  private static final long COUNTED_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private final Map<InstanceId, PeerLoad> loads = new HashMap<>();
  private int running;
  private double urgentMillis;
  private double otherMillis;

  /** No load that counts is older than this. */
  private long oldestNanos;

  /** Takes another instance's load. */
  void heard(InstanceId peer, PeerLoad load) {
    boolean first = loads.isEmpty();
    oldestNanos = first || load.seenNanos() - oldestNanos < 0 ? load.seenNanos() : oldestNanos;
    PeerLoad before = loads.put(peer, load);
    add(load, 1);
    if (before != null) {
      add(before, -1);
    }
  }

  /** Leaves out the loads that are too old. */
  void dropOld(long nowNanos) {
    if (loads.isEmpty() || nowNanos - oldestNanos <= COUNTED_NANOS) {
      return;
    }
    loads.values().removeIf(l -> nowNanos - l.seenNanos() > COUNTED_NANOS);
    running = 0;
    urgentMillis = 0;
    otherMillis = 0;
    oldestNanos = nowNanos;
    for (PeerLoad load : loads.values()) {
      add(load, 1);
      oldestNanos = load.seenNanos() - oldestNanos < 0 ? load.seenNanos() : oldestNanos;
    }
  }

  private void add(PeerLoad load, int sign) {
    running += sign * load.running();
    urgentMillis += sign * load.urgentPrefillMillis();
    otherMillis += sign * load.otherPrefillMillis();
  }

  /** Returns the requests that have not ended. */
  int running() {
    return running;
  }

  /** Returns the reading of urgent prompts that has not ended, in milliseconds. */
  double urgentMillis() {
    return urgentMillis;
  }

  /** Returns the reading of other prompts that has not ended, in milliseconds. */
  double otherMillis() {
    return otherMillis;
  }
}
