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
 * The state of one model engine of the local region, as this instance sees it.
 *
 * <p>The number of requests in flight is exact for the requests of this instance; the load is that
 * of the last report received. Safe for use by several threads.
 */
public final class EngineState {

  private static final long SUSPECT_NANOS = 2_000_000_000L;

  private final EngineId id;
  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicInteger sentSinceReport = new AtomicInteger();
  private final AtomicReference<ObservedEngineLoad> load =
      new AtomicReference<>(ObservedEngineLoad.NONE);
  private final AtomicReference<ConcurrencyLimit> limit = new AtomicReference<>();
  private volatile BackendRecord listed;
  private volatile Set<ModelId> models;
  private volatile EngineReport report;
  private volatile EngineShare share = EngineShare.equal(0, 1);
  private volatile long suspectUntilNanos;
  private volatile boolean suspected;

  /**
   * Creates the state of an engine of the instance list.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   */
  public EngineState(long nowNanos, BackendRecord listed) {
    this.id = EngineId.of(listed.id());
    applyRecord(listed);
    limit.set(ConcurrencyLimit.of(nowNanos, Math.max(1, listed.slots()), share));
  }

  /** Applies the engine's record of a new instance list. */
  void applyRecord(BackendRecord record) {
    listed = record;
    models = record.models().stream().map(ModelId::of).collect(Collectors.toUnmodifiableSet());
  }

  /** Returns the id of the engine. */
  public EngineId id() {
    return id;
  }

  /** Returns the engine's record in the instance list. */
  public BackendRecord record() {
    return listed;
  }

  /** Counts a request that is sent to the engine; {@link #requestEnded()} must follow. */
  public void requestSent() {
    inFlight.incrementAndGet();
    sentSinceReport.incrementAndGet();
  }

  /** Counts the end of a request. */
  public void requestEnded() {
    inFlight.decrementAndGet();
  }

  /**
   * Applies a load report.
   *
   * @param ownInFlight the requests of this instance in flight when the report was requested
   */
  void applyReport(ObservedEngineLoad next, int ownInFlight) {
    final int slotsBefore = slots();
    load.set(next);
    sentSinceReport.set(Math.max(0, inFlight.get() - ownInFlight));
    report = new EngineReport(next.running(), next.waiting(), ownInFlight, next.receivedNanos());
    if (slots() != slotsBefore) {
      limit.set(ConcurrencyLimit.of(next.receivedNanos(), slots(), share));
    }
  }

  /** Discards the last load report, after a pause of this process. */
  void clearLoad() {
    load.set(ObservedEngineLoad.NONE);
    report = null;
  }

  /** Sets this instance's share among the instances that use the engine. */
  void updateShare(long nowNanos, EngineShare next) {
    if (!next.equals(share)) {
      share = next;
      limit.set(ConcurrencyLimit.of(nowNanos, slots(), next));
    }
  }

  private int slots() {
    int reported = load.get().slots();
    return Math.max(1, reported > 0 ? reported : listed.slots());
  }

  /** Returns the number of requests of this instance in flight. */
  public int inFlight() {
    return inFlight.get();
  }

  /** Returns whether the engine is leaving according to its list record or its own report. */
  boolean reportsLeaving() {
    return !listed.live() || load.get().leaving();
  }

  /** Lowers the concurrency limit because the engine refused a request as full. */
  public void recordFullRefusal(long nowNanos) {
    limit.updateAndGet(l -> l.afterRefusal(nowNanos));
  }

  /**
   * Adapts the concurrency limit to the token rate of a response.
   *
   * @param meanTokenGapNanos the mean time between tokens, in nanoseconds
   * @param targetTokenGapNanos the longest desired time between tokens, in nanoseconds
   */
  public void recordTokenGap(long nowNanos, long meanTokenGapNanos, long targetTokenGapNanos) {
    limit.updateAndGet(l -> l.afterAnswer(nowNanos, meanTokenGapNanos, targetTokenGapNanos));
  }

  /** Marks the engine as unusable for some time because it could not be reached. */
  public void markSuspect(long nowNanos) {
    suspectUntilNanos = nowNanos + SUSPECT_NANOS;
    suspected = true;
  }

  private boolean isSuspected(long nowNanos) {
    return suspected && nowNanos - suspectUntilNanos < 0;
  }

  /**
   * Returns the engine as the routing policy sees it.
   *
   * @param markedLeaving whether another source reports that the engine is leaving
   */
  EngineView view(long nowNanos, boolean markedLeaving) {
    ObservedEngineLoad lastLoad = load.get();
    EngineReport lastReport = report;
    ConcurrencyLimit ownLimit = limit.get();
    return new EngineView(
        id,
        models,
        slots(),
        inFlight.get(),
        lastLoad.running(),
        lastLoad.waiting(),
        lastLoad.receivedNanos(),
        !markedLeaving && !reportsLeaving() && !isSuspected(nowNanos),
        lastReport == null ? ownLimit.limit() : ownLimit.limit(nowNanos, lastReport),
        sentSinceReport.get());
  }
}
