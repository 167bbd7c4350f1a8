package org.gentianslip.bench.run;

import java.util.Optional;
import java.util.Set;
import org.gentianslip.bench.fleet.SimulatedEngine;
import org.gentianslip.core.id.ModelId;
import org.gentianslip.core.limit.ConcurrencyLimit;
import org.gentianslip.core.limit.EngineReport;
import org.gentianslip.core.limit.EngineShare;
import org.gentianslip.core.limit.RecoveryRamp;
import org.gentianslip.core.routing.EngineView;

/** What one entry knows about the state of one engine. Not thread-safe. */
final class EngineTracker {

  private final SimulatedEngine engine;
  private final int slots;
  private final boolean sharesSlots;
  private final Optional<RecoveryRamp> recoveryRamp;
  private ConcurrencyLimit limit;
  private EngineReport report = new EngineReport(0, 0, 0, 0);
  private long sentAtReport;
  private long sent;
  private int inFlight;
  private boolean usable = true;
  private long recoveredNanos = Long.MIN_VALUE / 2;

  EngineTracker(
      SimulatedEngine engine,
      int slots,
      EngineShare share,
      boolean sharesSlots,
      Optional<RecoveryRamp> recoveryRamp) {
    this.engine = engine;
    this.slots = slots;
    this.sharesSlots = sharesSlots;
    this.recoveryRamp = recoveryRamp;
    this.limit = ConcurrencyLimit.of(0, slots, share);
  }

  SimulatedEngine engine() {
    return engine;
  }

  EngineView view(long nowNanos, Set<ModelId> models) {
    int allowed = sharesSlots ? limit.limit(nowNanos, report) : slots;
    if (recoveryRamp.isPresent()) {
      allowed = recoveryRamp.get().limit(nowNanos, recoveredNanos, allowed);
    }
    return new EngineView(
        engine.id(),
        models,
        slots,
        inFlight,
        report.running(),
        report.waiting(),
        report.reportedNanos(),
        usable,
        allowed,
        (int) (sent - sentAtReport));
  }

  /** Returns the number of free slots by the last report, or 0 while the engine is not usable. */
  int freeSlots() {
    return usable ? Math.max(0, slots - report.running() - report.waiting()) : 0;
  }

  void onSend() {
    inFlight++;
    sent++;
  }

  void onEnd() {
    inFlight--;
  }

  void onRefused(long nowNanos) {
    limit = limit.afterRefusal(nowNanos);
  }

  void onLost() {
    usable = false;
    report = new EngineReport(0, 0, 0, report.reportedNanos());
  }

  /**
   * Reads the state of the engine now, and returns the action that applies it when the report
   * arrives.
   */
  Runnable sampleReport(long nowNanos) {
    var sampled = new EngineReport(engine.running(), engine.waiting(), inFlight, nowNanos);
    long sentWhenSampled = sent;
    boolean wasUp = engine.isUp();
    return () -> {
      if (!wasUp) {
        return;
      }
      if (!usable) {
        usable = true;
        recoveredNanos = nowNanos;
      }
      report = sampled;
      sentAtReport = sentWhenSampled;
    };
  }
}
