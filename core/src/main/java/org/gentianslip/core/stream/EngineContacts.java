package org.gentianslip.core.stream;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.ServiceId;

/**
 * When this instance last heard from each engine, and of which services it knows whether their
 * engines answer calls for their runs.
 *
 * <p>Bounded by {@link #MAX_ENGINES}. Safe for use by several threads.
 */
public final class EngineContacts {

  /** The number of engines above which what was heard is forgotten, which costs one more call. */
  static final int MAX_ENGINES = 20_000;

  private final Map<EngineId, AtomicLong> heard = new ConcurrentHashMap<>();
  private final Map<ServiceId, Boolean> calls = new ConcurrentHashMap<>();

  /** Returns the time at which an engine was last heard, which the caller may update. */
  public AtomicLong heardNanos(long nowNanos, EngineId engine) {
    if (heard.size() > MAX_ENGINES) {
      heard.clear();
    }
    return heard.computeIfAbsent(engine, e -> new AtomicLong(nowNanos - RunWatch.ALIVE_NANOS));
  }

  /** Records the answer of an engine to a call for its runs; silence leaves the belief as it is. */
  public void recordEvidence(
      long nowNanos, ServiceId service, EngineId engine, RunEvidence evidence) {
    if (!evidence.isSignOfLife()) {
      return;
    }
    heardNanos(nowNanos, engine).set(nowNanos);
    if (evidence == RunEvidence.NO_REPORT) {
      calls.putIfAbsent(service, false);
    } else {
      calls.put(service, true);
    }
  }

  /** Returns whether engines of a service are known to answer calls for their runs. */
  public boolean answersCalls(ServiceId service) {
    return calls.getOrDefault(service, false);
  }

  /** Returns whether an engine of a service has answered a call, with a report or without. */
  public boolean hasAnswered(ServiceId service) {
    return calls.containsKey(service);
  }
}
