package org.gentianslip.bench.run;

import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.limit.Backoff;
import org.gentianslip.core.limit.EngineShare;
import org.gentianslip.core.routing.RegionSummary;

/** Holds what one entry knows of another region. For one thread. */
final class RegionSlot {

  private static final long SILENCE_NANOS = 2_000_000_000L;

  private final RegionId id;
  private final long roundTripNanos;
  private final EngineShare share;
  private final Backoff backoff;
  private final LinkBudget budget;
  private int freeSlots;
  private int sentSinceReport;
  private long heardNanos = Long.MIN_VALUE / 2;
  private long pausedUntilNanos;
  private int failures;

  RegionSlot(
      RegionId id, long roundTripNanos, EngineShare share, Backoff backoff, LinkBudget budget) {
    this.id = id;
    this.roundTripNanos = roundTripNanos;
    this.share = share;
    this.backoff = backoff;
    this.budget = budget;
  }

  RegionSummary summary(long nowNanos) {
    boolean reachable = nowNanos - heardNanos < SILENCE_NANOS && nowNanos >= pausedUntilNanos;
    int quota = Math.max(0, share.portionOfFree(freeSlots) - sentSinceReport);
    return new RegionSummary(
        id, freeSlots, heardNanos, roundTripNanos, reachable, quota, budget.free(nowNanos));
  }

  void onReport(long nowNanos, int free) {
    heardNanos = nowNanos;
    freeSlots = free;
    sentSinceReport = 0;
  }

  void onSend(long nowNanos, long bytes) {
    sentSinceReport++;
    budget.take(nowNanos, bytes);
  }

  void onAnswer() {
    failures = 0;
  }

  void onRefused(long nowNanos) {
    failures++;
    pausedUntilNanos = nowNanos + backoff.pauseNanos(id.value().hashCode(), failures);
  }
}
