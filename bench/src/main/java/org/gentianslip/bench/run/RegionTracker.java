package org.gentianslip.bench.run;

import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.limit.Backoff;
import org.gentianslip.core.limit.EngineShare;
import org.gentianslip.core.routing.RegionSummary;

/** What one entry knows about the state of another region. Not thread-safe. */
final class RegionTracker {

  private static final long REPORT_TIMEOUT_NANOS = 2_000_000_000L;

  private final RegionId id;
  private final long roundTripNanos;
  private final EngineShare quotaShare;
  private final Backoff backoff;
  private final LinkBudget linkBudget;
  private int freeSlots;
  private int sentSinceReport;
  private long reportedNanos = Long.MIN_VALUE / 2;
  private long pausedUntilNanos;
  private int successiveRefusals;

  RegionTracker(
      RegionId id,
      long roundTripNanos,
      EngineShare quotaShare,
      Backoff backoff,
      LinkBudget linkBudget) {
    this.id = id;
    this.roundTripNanos = roundTripNanos;
    this.quotaShare = quotaShare;
    this.backoff = backoff;
    this.linkBudget = linkBudget;
  }

  RegionSummary summary(long nowNanos) {
    boolean reachable =
        nowNanos - reportedNanos < REPORT_TIMEOUT_NANOS && nowNanos >= pausedUntilNanos;
    int quota = Math.max(0, quotaShare.portionOfFree(freeSlots) - sentSinceReport);
    return new RegionSummary(
        id,
        freeSlots,
        reportedNanos,
        roundTripNanos,
        reachable,
        quota,
        linkBudget.available(nowNanos));
  }

  void onReport(long nowNanos, int free) {
    reportedNanos = nowNanos;
    freeSlots = free;
    sentSinceReport = 0;
  }

  void onSend(long nowNanos, long bytes) {
    sentSinceReport++;
    linkBudget.consume(nowNanos, bytes);
  }

  void onAnswer() {
    successiveRefusals = 0;
  }

  void onRefused(long nowNanos) {
    successiveRefusals++;
    pausedUntilNanos = nowNanos + backoff.pauseNanos(id.value().hashCode(), successiveRefusals);
  }
}
