package org.gentianslip.entry.state;

import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.ModelId;
import org.gentianslip.core.limit.ConcurrencyLimit;
import org.gentianslip.core.limit.EngineReport;
import org.gentianslip.core.limit.EngineShare;
import org.gentianslip.core.routing.EngineView;
import org.gentianslip.entry.configservice.BackendRecord;

/**
 * Follows one model engine of the own region.
 *
 * <p>The number of requests in flight is exact for this instance; the load report is the last one
 * that arrived. Safe for use by several threads.
 */
public final class EngineState {

  private static final long SUSPECT_NANOS = 2_000_000_000L;

  private final EngineId id;
  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicInteger sentSinceReport = new AtomicInteger();
  private final AtomicReference<EngineLoad> load = new AtomicReference<>(EngineLoad.NONE);
  private final AtomicReference<ConcurrencyLimit> limit = new AtomicReference<>();
  private volatile BackendRecord listed;
  private volatile Set<ModelId> models;
  private volatile EngineReport report;
  private volatile EngineShare share = EngineShare.equal(0, 1);
  private volatile long suspectUntilNanos;
  private volatile boolean suspected;

  /**
   * Creates the state of an engine that the platform lists.
   *
   * @param nowNanos the present time, in nanoseconds of the monotonic clock
   */
  public EngineState(long nowNanos, BackendRecord listed) {
    this.id = EngineId.of(listed.id());
    relist(listed);
    limit.set(ConcurrencyLimit.of(nowNanos, Math.max(1, listed.slots()), share));
  }

  /** Takes a new element of the list. */
  void relist(BackendRecord record) {
    listed = record;
    models = record.models().stream().map(ModelId::of).collect(Collectors.toUnmodifiableSet());
  }

  /** Returns the id of the engine. */
  public EngineId id() {
    return id;
  }

  /** Returns the engine as the platform lists it. */
  public BackendRecord listed() {
    return listed;
  }

  /** Counts a request that is sent to the engine; {@link #finish()} must follow. */
  public void begin() {
    inFlight.incrementAndGet();
    sentSinceReport.incrementAndGet();
  }

  /** Counts the end of a request. */
  public void finish() {
    inFlight.decrementAndGet();
  }

  /**
   * Takes a load report.
   *
   * @param ownInFlight the requests of this instance in flight when the report was asked for
   */
  void report(EngineLoad next, int ownInFlight) {
    final int slotsBefore = slots();
    load.set(next);
    sentSinceReport.set(Math.max(0, inFlight.get() - ownInFlight));
    report = new EngineReport(next.running(), next.waiting(), ownInFlight, next.atNanos());
    if (slots() != slotsBefore) {
      limit.set(ConcurrencyLimit.of(next.atNanos(), slots(), share));
    }
  }

  /** Forgets the last load report, after a pause of this process. */
  void forgetLoad() {
    load.set(EngineLoad.NONE);
    report = null;
  }

  /** Takes this instance's place among those that share the engine. */
  void takeShare(long nowNanos, EngineShare next) {
    if (!next.equals(share)) {
      share = next;
      limit.set(ConcurrencyLimit.of(nowNanos, slots(), next));
    }
  }

  private int slots() {
    int reported = load.get().slots();
    return Math.max(1, reported > 0 ? reported : listed.slots());
  }

  /** Returns the requests of this instance that are in flight. */
  public int inFlight() {
    return inFlight.get();
  }

  /** Returns whether the engine is leaving by its list entry or its own report. */
  boolean saysLeaving() {
    return !listed.live() || load.get().leaving();
  }

  /** Lowers the limit, since the engine refused work as full. */
  public void refusedAsFull(long nowNanos) {
    limit.updateAndGet(l -> l.afterRefusal(nowNanos));
  }

  /**
   * Adapts the limit to the pace of an answer.
   *
   * @param tokenNanos the mean time between tokens, in nanoseconds
   * @param targetNanos the greatest time that is wanted, in nanoseconds
   */
  public void answered(long nowNanos, long tokenNanos, long targetNanos) {
    limit.updateAndGet(l -> l.afterAnswer(nowNanos, tokenNanos, targetNanos));
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
    EngineLoad last = load.get();
    EngineReport noted = report;
    ConcurrencyLimit own = limit.get();
    return new EngineView(
        id,
        models,
        slots(),
        inFlight.get(),
        last.running(),
        last.waiting(),
        last.atNanos(),
        !marked && !saysLeaving() && !isSuspected(nowNanos),
        noted == null ? own.limit() : own.limit(nowNanos, noted),
        sentSinceReport.get());
  }
}
