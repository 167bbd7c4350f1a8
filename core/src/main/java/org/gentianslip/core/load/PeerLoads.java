package org.gentianslip.core.load;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Sums the loads that other instances put on one backend server, by the source of the report.
 *
 * <p>A source is an instance, a data centre or, at a member, the rest of the region. The sums are
 * updated with each report, so the cost of reading them does not depend on the number of sources.
 * Not thread-safe.
 */
final class PeerLoads {

  /** How long a report of another instance's load counts: several intervals between hellos. */
  private static final long MAX_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private final Map<LoadSource, PeerLoad> loads = new HashMap<>();
  private int running;
  private double urgentPrefillMillis;
  private double otherPrefillMillis;

  /** A lower bound on the receipt time of all loads that count. */
  private long oldestReceivedNanos;

  /** Records the load that a source has reported. */
  void record(LoadSource source, PeerLoad load) {
    boolean first = loads.isEmpty();
    oldestReceivedNanos =
        first || load.receivedNanos() - oldestReceivedNanos < 0
            ? load.receivedNanos()
            : oldestReceivedNanos;
    PeerLoad previous = loads.put(source, load);
    add(load, 1);
    if (previous != null) {
      add(previous, -1);
    }
  }

  /** Returns whether a source has reported a load that is not zero. */
  boolean hasLoadOf(LoadSource source) {
    PeerLoad load = loads.get(source);
    return load != null && !load.isZero();
  }

  /** Returns the sum of the loads of the accepted sources. */
  PeerLoad sumOf(long nowNanos, Predicate<LoadSource> accepted) {
    PeerLoad sum = PeerLoad.zero(nowNanos);
    for (Map.Entry<LoadSource, PeerLoad> e : loads.entrySet()) {
      if (accepted.test(e.getKey())) {
        sum = sum.plus(e.getValue());
      }
    }
    return sum;
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
