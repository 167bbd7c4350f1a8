package org.gentianslip.bench.run;

import org.gentianslip.core.id.Rank;

/**
 * The summary of the requests that were sent in one bin of the timeline.
 *
 * <p>Immutable and thread-safe.
 *
 * @param urgent the summary of the urgent rank
 * @param other the summary of the other rank
 */
public record TimelineBin(RankSummary urgent, RankSummary other) {

  private static final double PERCENTILE = 95;

  /**
   * The summary of one rank. Immutable and thread-safe.
   *
   * @param firstTokenSeconds the 95th percentile of the time to the first token, in seconds
   * @param goodShare the share of the requests that were answered completely and in time, from 0 to
   *     1
   */
  public record RankSummary(double firstTokenSeconds, double goodShare) {

    private static RankSummary of(RankMetrics rank) {
      return new RankSummary(rank.firstTokenSeconds(PERCENTILE), rank.goodShare());
    }
  }

  static TimelineBin of(PeriodMetrics period) {
    return new TimelineBin(
        RankSummary.of(period.rank(Rank.URGENT)), RankSummary.of(period.rank(Rank.OTHER)));
  }

  /** Returns the summary of a rank. */
  public RankSummary rank(Rank rank) {
    return rank == Rank.URGENT ? urgent : other;
  }
}
