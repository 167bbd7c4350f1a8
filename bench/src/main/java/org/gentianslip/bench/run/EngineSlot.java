package org.gentianslip.bench.run;

import java.util.Optional;
import java.util.Set;
import org.gentianslip.bench.fleet.FakeEngine;
import org.gentianslip.core.id.ModelId;
import org.gentianslip.core.limit.ConcurrencyLimit;
import org.gentianslip.core.limit.EngineReport;
import org.gentianslip.core.limit.EngineShare;
import org.gentianslip.core.limit.RecoveryRamp;
import org.gentianslip.core.routing.EngineView;

/** Holds what one entry knows of one engine. For one thread. */
final class EngineSlot {

  private final FakeEngine engine;
  private final int slots;
  private final boolean shared;
  private final Optional<RecoveryRamp> ramp;
  private ConcurrencyLimit limit;
  private EngineReport report = new EngineReport(0, 0, 0, 0);
  private long sentAtReport;
  private long sent;
  private int inFlight;
  private boolean usable = true;
  private long returnedNanos = Long.MIN_VALUE / 2;

  EngineSlot(
      FakeEngine engine,
      int slots,
      EngineShare share,
      boolean shared,
      Optional<RecoveryRamp> ramp) {
    this.engine = engine;
    this.slots = slots;
    this.shared = shared;
    this.ramp = ramp;
    this.limit = ConcurrencyLimit.of(0, slots, share);
  }

  FakeEngine engine() {
    return engine;
  }

  EngineView view(long nowNanos, Set<ModelId> models) {
    int allowed = shared ? limit.limit(nowNanos, report) : slots;
    if (ramp.isPresent()) {
      allowed = ramp.get().limit(nowNanos, returnedNanos, allowed);
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

  /** Returns the slots that were free by the last report. */
  int free() {
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

  /** Returns what applies a report that the engine makes now, when it arrives later. */
  Runnable sample(long nowNanos) {
    var sample = new EngineReport(engine.running(), engine.waiting(), inFlight, nowNanos);
    long sentNow = sent;
    boolean up = engine.isUp();
    return () -> {
      if (!up) {
        return;
      }
      if (!usable) {
        usable = true;
        returnedNanos = nowNanos;
      }
      report = sample;
      sentAtReport = sentNow;
    };
  }
}
