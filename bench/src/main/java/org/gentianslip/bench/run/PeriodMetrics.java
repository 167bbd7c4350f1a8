package org.gentianslip.bench.run;

import java.util.EnumMap;
import java.util.Map;
import org.gentianslip.core.id.Rank;

/**
 * Metrics by rank of the requests that were sent in one period of a simulation. Not thread-safe.
 */
public final class PeriodMetrics {

  private final Map<Rank, RankMetrics> ranks = new EnumMap<>(Rank.class);

  PeriodMetrics() {
    for (Rank rank : Rank.values()) {
      ranks.put(rank, new RankMetrics());
    }
  }

  /** Returns the metrics of a rank. */
  public RankMetrics rank(Rank rank) {
    return ranks.get(rank);
  }
}
