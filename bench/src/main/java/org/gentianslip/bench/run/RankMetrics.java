package org.gentianslip.bench.run;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.IntCountsHistogram;

/**
 * Metrics of the requests of one rank that were sent in one period of a simulation. Not
 * thread-safe.
 */
public final class RankMetrics {

  private static final int SIGNIFICANT_DIGITS = 3;
  private static final long NANOS_PER_MICRO = 1000;
  private static final double MICROS_PER_SECOND = 1e6;
  private static final double MICROS_PER_MILLI = 1e3;

  private final IntCountsHistogram firstToken = new IntCountsHistogram(SIGNIFICANT_DIGITS);
  private final IntCountsHistogram betweenTokens = new IntCountsHistogram(SIGNIFICANT_DIGITS);
  private final Map<RequestOutcome, Long> outcomes = new EnumMap<>(RequestOutcome.class);
  private long offered;

  void recordOffered() {
    offered++;
  }

  void recordOutcome(RequestOutcome outcome) {
    outcomes.merge(outcome, 1L, Long::sum);
  }

  void recordFirstToken(long nanos) {
    firstToken.recordValue(nanos / NANOS_PER_MICRO);
  }

  void recordTokenGaps(long gapNanos, int count) {
    betweenTokens.recordValueWithCount(gapNanos / NANOS_PER_MICRO, count);
  }

  /** Returns the number of requests that were sent. */
  public long offered() {
    return offered;
  }

  /** Returns the number of complete answers whose first token was in time. */
  public long good() {
    return count(RequestOutcome.GOOD);
  }

  /**
   * Returns the share of the requests that were answered completely and in time, from 0 to 1; 1
   * without requests.
   */
  public double goodShare() {
    return offered == 0 ? 1 : (double) good() / offered;
  }

  /** Returns the number of complete answers whose first token was late. */
  public long late() {
    return count(RequestOutcome.LATE);
  }

  /** Returns the number of requests that were refused on arrival. */
  public long refusedEarly() {
    return count(RequestOutcome.REFUSED_EARLY);
  }

  /**
   * Returns the number of requests that were refused after they had waited in a queue or an attempt
   * had failed.
   */
  public long refusedLate() {
    return count(RequestOutcome.REFUSED_LATE);
  }

  /** Returns the number of answers that were cut off. */
  public long failed() {
    return count(RequestOutcome.FAILED);
  }

  /** Returns a percentile of the time to the first token at the caller, in seconds. */
  public double firstTokenSeconds(double percentile) {
    return firstToken.getValueAtPercentile(percentile) / MICROS_PER_SECOND;
  }

  /** Returns a percentile of the time between tokens, in milliseconds. */
  public double betweenTokensMillis(double percentile) {
    return betweenTokens.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }

  private long count(RequestOutcome outcome) {
    return outcomes.getOrDefault(outcome, 0L);
  }
}
