package org.gentianslip.bench.run;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.IntCountsHistogram;

/** Counts what became of the requests of a rank in a part of a run. For one thread. */
public final class RankResult {

  private static final int DIGITS = 3;
  private static final long MICRO = 1000;
  private static final double MICROS_PER_SECOND = 1e6;
  private static final double MICROS_PER_MILLI = 1e3;

  private final IntCountsHistogram firstToken = new IntCountsHistogram(DIGITS);
  private final IntCountsHistogram betweenTokens = new IntCountsHistogram(DIGITS);
  private final Map<Outcome, Long> outcomes = new EnumMap<>(Outcome.class);
  private long offered;

  void onOffered() {
    offered++;
  }

  void onOutcome(Outcome outcome) {
    outcomes.merge(outcome, 1L, Long::sum);
  }

  void onFirstToken(long nanos) {
    firstToken.recordValue(nanos / MICRO);
  }

  void onTokens(long gapNanos, int count) {
    betweenTokens.recordValueWithCount(gapNanos / MICRO, count);
  }

  /** Returns the number of requests that were sent. */
  public long offered() {
    return offered;
  }

  /** Returns the number of whole answers whose first token was in time. */
  public long good() {
    return count(Outcome.GOOD);
  }

  /** Returns the share of the requests that were answered whole and in time. */
  public double goodShare() {
    return offered == 0 ? 1 : (double) good() / offered;
  }

  /** Returns the number of whole answers whose first token was late. */
  public long late() {
    return count(Outcome.LATE);
  }

  /** Returns the number of requests that were refused when they arrived. */
  public long refusedEarly() {
    return count(Outcome.REFUSED_EARLY);
  }

  /** Returns the number of requests that were refused after they had waited. */
  public long refusedLate() {
    return count(Outcome.REFUSED_LATE);
  }

  /** Returns the number of answers that broke off. */
  public long failed() {
    return count(Outcome.FAILED);
  }

  /** Returns a percentile of the time to the first token at the caller, in seconds. */
  public double firstTokenSeconds(double percentile) {
    return firstToken.getValueAtPercentile(percentile) / MICROS_PER_SECOND;
  }

  /** Returns a percentile of the time between tokens, in milliseconds. */
  public double betweenTokensMillis(double percentile) {
    return betweenTokens.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }

  private long count(Outcome outcome) {
    return outcomes.getOrDefault(outcome, 0L);
  }
}
