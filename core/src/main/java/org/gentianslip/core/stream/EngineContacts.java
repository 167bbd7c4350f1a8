package org.gentianslip.core.stream;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.published.Backend;

/**
 * When this instance last heard from each engine, at which addresses other servers have answered
 * since, and of which services it knows whether their engines answer calls for their runs.
 *
 * <p>Bounded by {@link #MAX_ENGINES}. Safe for use by several threads.
 */
public final class EngineContacts {

  /** The number of engines above which what was heard is forgotten, which costs one more call. */
  static final int MAX_ENGINES = 20_000;

  private final Map<EngineId, AtomicLong> heard = new ConcurrentHashMap<>();
  private final Map<EngineId, Displaced> displaced = new ConcurrentHashMap<>();
  private final Map<ServiceId, Boolean> calls = new ConcurrentHashMap<>();

  /**
   * One start of an engine at whose address another server has answered.
   *
   * @param startedMillis when the engine started, in Unix milliseconds, or 0 if unknown
   * @param nanos when the other server answered
   */
  private record Displaced(long startedMillis, long nanos) {}

  /** Returns the time at which an engine was last heard, which the caller may update. */
  public AtomicLong heardNanos(long nowNanos, EngineId engine) {
    forgetIfTooMany();
    return heard.computeIfAbsent(engine, e -> new AtomicLong(nowNanos - RunWatch.ALIVE_NANOS));
  }

  private void forgetIfTooMany() {
    if (heard.size() > MAX_ENGINES || displaced.size() > MAX_ENGINES) {
      heard.clear();
      displaced.clear();
    }
  }

  /** Records the answer of an engine to a call for its runs; silence leaves the belief as it is. */
  public void recordEvidence(long nowNanos, Backend engine, RunEvidence evidence) {
    if (!evidence.isSignOfLife()) {
      return;
    }
    heardNanos(nowNanos, engine.id()).set(nowNanos);
    if (evidence == RunEvidence.NO_REPORT) {
      calls.putIfAbsent(engine.service(), false);
    } else {
      calls.put(engine.service(), true);
    }
  }

  /** Records that another server has answered at the address of an engine. */
  public void recordOtherServer(long nowNanos, Backend engine) {
    forgetIfTooMany();
    displaced.put(engine.id(), new Displaced(engine.startedMillis(), nowNanos));
  }

  /** Returns whether another server has answered at the address of an engine and the engine not. */
  public boolean isDisplaced(long nowNanos, Backend engine) {
    Displaced last = displaced.get(engine.id());
    return last != null
        && last.startedMillis() == engine.startedMillis()
        && last.nanos() - heardNanos(nowNanos, engine.id()).get() >= 0;
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
