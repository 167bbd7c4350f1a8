package org.gentianslip.load.report;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.gentianslip.core.id.Rank;
import org.gentianslip.load.call.AnswerTiming;
import org.gentianslip.load.call.CallOutcome;
import org.gentianslip.load.call.CallResult;

/**
 * Counters and latency histograms of the calls of one rank from one region.
 *
 * <p>Latencies are recorded for answered calls only, and those of tokens for streams only.
 * Thread-safe and lock-free.
 */
final class CallStatistics {

  private static final int SIGNIFICANT_DIGITS = 3;

  private final LongAdder sent = new LongAdder();
  private final LongAdder sentAway = new LongAdder();
  private final AtomicLongArray outcomes = new AtomicLongArray(CallOutcome.values().length);
  private final ConcurrentHistogram firstToken = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
  private final ConcurrentHistogram tokenGap = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
  private final ConcurrentHistogram wholeAnswer = new ConcurrentHistogram(SIGNIFICANT_DIGITS);

  void recordSent() {
    sent.increment();
  }

  void recordResult(CallResult result) {
    outcomes.incrementAndGet(result.outcome().ordinal());
    if (result.outcome() != CallOutcome.ANSWERED) {
      return;
    }
    if (result.forwarded()) {
      sentAway.increment();
    }
    AnswerTiming timing = result.timing();
    recordNanos(wholeAnswer, timing.lastNanos() - result.dueNanos());
    if (!result.spec().share().action().isStream()) {
      return;
    }
    recordNanos(firstToken, timing.firstNanos() - result.dueNanos());
    for (long gapNanos : timing.gapNanos()) {
      recordNanos(tokenGap, gapNanos);
    }
  }

  void addAllIf(boolean condition, CallStatistics other) {
    if (!condition) {
      return;
    }
    sent.add(other.sent.sum());
    sentAway.add(other.sentAway.sum());
    for (int i = 0; i < outcomes.length(); i++) {
      outcomes.addAndGet(i, other.outcomes.get(i));
    }
    firstToken.add(other.firstToken);
    tokenGap.add(other.tokenGap);
    wholeAnswer.add(other.wholeAnswer);
  }

  boolean hasCalls() {
    return sent.sum() > 0;
  }

  LoadReport.Row toRow(Rank rank, String region) {
    return new LoadReport.Row(
        rank,
        region,
        sent.sum(),
        outcomes.get(CallOutcome.ANSWERED.ordinal()),
        outcomes.get(CallOutcome.NOT_RUN.ordinal()),
        outcomes.get(CallOutcome.UNKNOWN.ordinal()),
        outcomes.get(CallOutcome.WRONG.ordinal()),
        sentAway.sum(),
        LatencySummary.of(firstToken),
        LatencySummary.of(tokenGap),
        LatencySummary.of(wholeAnswer));
  }

  private static void recordNanos(ConcurrentHistogram histogram, long nanos) {
    histogram.recordValue(Math.max(0, TimeUnit.NANOSECONDS.toMicros(nanos)));
  }
}
