package org.gentianslip.entry.state;

import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.ModelId;
import org.gentianslip.core.routing.EngineView;
import org.gentianslip.entry.platform.BackendRecord;

/**
 * Follows one model engine of the own region.
 *
 * <p>The number of requests in flight is exact for this instance; the load report is the last one
 * that arrived. Safe for use by several threads.
 */
public final class EngineState {

  private static final long SUSPECT_NANOS = 2_000_000_000L;

  private final BackendRecord listed;
  private final EngineId id;
  private final Set<ModelId> models;
  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicReference<EngineLoad> load = new AtomicReference<>(EngineLoad.NONE);
  private volatile long suspectUntilNanos;
  private volatile boolean suspected;

  /** Creates the state of an engine that the platform lists. */
  public EngineState(BackendRecord listed) {
    this.listed = listed;
    this.id = EngineId.of(listed.id());
    this.models = listed.models().stream().map(ModelId::of).collect(Collectors.toUnmodifiableSet());
  }

  /** Returns the state with a new entry of the list, keeping what was learned. */
  EngineState relisted(BackendRecord record) {
    if (record.equals(listed)) {
      return this;
    }
    var next = new EngineState(record);
    next.inFlight.set(inFlight.get());
    next.load.set(load.get());
    return next;
  }

  /** Returns the id of the engine. */
  public EngineId id() {
    return id;
  }

  /** Returns the engine as the platform lists it. */
  public BackendRecord listed() {
    return listed;
  }

  /**
   * Counts a request that is to be sent to the engine.
   *
   * @param limit the greatest number of requests in flight
   * @return whether the request may be sent; if so, {@link #finish()} must follow
   */
  public boolean begin(int limit) {
    while (true) {
      int now = inFlight.get();
      if (now >= limit) {
        return false;
      }
      if (inFlight.compareAndSet(now, now + 1)) {
        return true;
      }
    }
  }

  /** Counts the end of a request. */
  public void finish() {
    inFlight.decrementAndGet();
  }

  /** Returns the requests of this instance that are in flight. */
  public int inFlight() {
    return inFlight.get();
  }

  /** Takes a load report. */
  public void report(EngineLoad report) {
    load.set(report);
  }

  /** Forgets the last load report, after a pause of this process. */
  void forgetLoad() {
    load.set(EngineLoad.NONE);
  }

  /** Returns the last load report. */
  public EngineLoad load() {
    return load.get();
  }

  /** Returns whether the engine is leaving by its list entry or its own report. */
  boolean saysLeaving() {
    return !listed.live() || load.get().leaving();
  }

  /** Sends no new work to the engine for a while, since it could not be reached. */
  public void suspect(long nowNanos) {
    suspectUntilNanos = nowNanos + SUSPECT_NANOS;
    suspected = true;
  }

  private boolean isSuspected(long nowNanos) {
    return suspected && nowNanos - suspectUntilNanos < 0;
  }

  /**
   * Returns what the routing policy may know.
   *
   * @param marked whether the engine is known to be leaving from another source
   */
  EngineView view(long nowNanos, boolean marked) {
    EngineLoad report = load.get();
    int slots = report.slots() > 0 ? report.slots() : listed.slots();
    return new EngineView(
        id,
        models,
        slots,
        inFlight.get(),
        report.running(),
        report.waiting(),
        report.atNanos(),
        !marked && !saysLeaving() && !isSuspected(nowNanos));
  }
}
