package org.gentianslip.bench.run;

import java.util.EnumMap;
import java.util.Map;
import org.gentianslip.core.id.Rank;

/** Holds the results of the requests that were sent in a part of a run. For one thread. */
public final class Period {

  private final Map<Rank, RankResult> ranks = new EnumMap<>(Rank.class);

  Period() {
    for (Rank rank : Rank.values()) {
      ranks.put(rank, new RankResult());
    }
  }

  /** Returns the result of a rank. */
  public RankResult rank(Rank rank) {
    return ranks.get(rank);
  }
}
