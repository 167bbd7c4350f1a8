package org.gentianslip.load.report;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.gentianslip.core.id.Rank;
import org.gentianslip.load.call.CallResult;
import org.gentianslip.load.call.Outcome;
import org.gentianslip.load.call.Timing;

/**
 * The figures of one rank in one region.
 *
 * <p>Latencies are of answered model calls. Safe for use by several threads without locks.
 */
final class Cell {

  private static final int SIGNIFICANT_DIGITS = 3;

  private final LongAdder sent = new LongAdder();
  private final LongAdder sentAway = new LongAdder();
  private final AtomicLongArray outcomes = new AtomicLongArray(Outcome.values().length);
  private final ConcurrentHistogram first = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
  private final ConcurrentHistogram gap = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
  private final ConcurrentHistogram whole = new ConcurrentHistogram(SIGNIFICANT_DIGITS);

  void sent() {
    sent.increment();
  }

  void ended(CallResult result) {
    outcomes.incrementAndGet(result.outcome().ordinal());
    if (result.outcome() != Outcome.ANSWERED) {
      return;
    }
    if (result.sentAway()) {
      sentAway.increment();
    }
    Timing timing = result.timing();
    record(whole, timing.lastNanos() - result.dueNanos());
    if (!result.spec().share().action().isStream()) {
      return;
    }
    record(first, timing.firstNanos() - result.dueNanos());
    for (long nanos : timing.gapNanos()) {
      record(gap, nanos);
    }
  }

  void addIf(boolean wanted, Cell other) {
    if (!wanted) {
      return;
    }
    sent.add(other.sent.sum());
    sentAway.add(other.sentAway.sum());
    for (int i = 0; i < outcomes.length(); i++) {
      outcomes.addAndGet(i, other.outcomes.get(i));
    }
    first.add(other.first);
    gap.add(other.gap);
    whole.add(other.whole);
  }

  boolean isUsed() {
    return sent.sum() > 0;
  }

  LoadReport.Row row(Rank rank, String region) {
    return new LoadReport.Row(
        rank,
        region,
        sent.sum(),
        outcomes.get(Outcome.ANSWERED.ordinal()),
        outcomes.get(Outcome.NOT_RUN.ordinal()),
        outcomes.get(Outcome.UNKNOWN.ordinal()),
        outcomes.get(Outcome.WRONG.ordinal()),
        sentAway.sum(),
        Latency.of(first),
        Latency.of(gap),
        Latency.of(whole));
  }

  private static void record(ConcurrentHistogram histogram, long nanos) {
    histogram.recordValue(Math.max(0, TimeUnit.NANOSECONDS.toMicros(nanos)));
  }
}
