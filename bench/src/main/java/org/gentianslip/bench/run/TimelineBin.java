package org.gentianslip.bench.run;

import org.gentianslip.core.id.Rank;

/**
 * Summarises the requests that were sent in a short part of a run.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param urgent the urgent rank
 * @param other the other rank
 */
public record TimelineBin(Service urgent, Service other) {

  private static final double PERCENTILE = 95;

  /**
   * Summarises a rank. Immutable and safe for use by several threads.
   *
   * @param firstTokenSeconds the 95th percentile of the time to the first token, in seconds
   * @param goodShare the share of the requests that were answered whole and in time
   */
  public record Service(double firstTokenSeconds, double goodShare) {

    private static Service of(RankResult rank) {
      return new Service(rank.firstTokenSeconds(PERCENTILE), rank.goodShare());
    }
  }

  static TimelineBin of(Period period) {
    return new TimelineBin(
        Service.of(period.rank(Rank.URGENT)), Service.of(period.rank(Rank.OTHER)));
  }

  /** Returns the summary of a rank. */
  public Service rank(Rank rank) {
    return rank == Rank.URGENT ? urgent : other;
  }
}
