package org.gentianslip.load.report;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.gentianslip.core.id.Rank;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.load.call.CallOutcome;
import org.gentianslip.load.call.CallResult;

/**
 * Records the results of calls by rank and region.
 *
 * <p>Counts never decrease. Thread-safe and lock-free.
 */
public final class ResultRecorder {

  private static final int MAX_FAULTS = 20;

  private final ConcurrentMap<RankAndRegion, CallStatistics> statistics = new ConcurrentHashMap<>();
  private final ConcurrentMap<String, LongAdder> codes = new ConcurrentHashMap<>();
  private final ConcurrentLinkedQueue<String> faults = new ConcurrentLinkedQueue<>();
  private final AtomicInteger faultCount = new AtomicInteger();
  private final LongAdder heldBack = new LongAdder();
  private final LongAdder refusalsFollowed = new LongAdder();

  /** Counts a call as sent. */
  public void recordSent(Rank rank, RegionId region) {
    statisticsOf(rank, region).recordSent();
  }

  /** Counts an arrival that was not sent because of the limit on calls in flight. */
  public void recordHeldBack() {
    heldBack.increment();
  }

  /** Counts the result of a call that has ended. */
  public void recordResult(CallResult result) {
    statisticsOf(result.spec().share().rank(), result.region()).recordResult(result);
    refusalsFollowed.add(result.refusals());
    if (!result.code().isEmpty()) {
      codes.computeIfAbsent(result.code(), c -> new LongAdder()).increment();
    }
    boolean isFault =
        result.outcome() == CallOutcome.UNKNOWN || result.outcome() == CallOutcome.WRONG;
    if (isFault && faultCount.incrementAndGet() <= MAX_FAULTS) {
      faults.add(
          result.spec().id()
              + " "
              + result.outcome()
              + " "
              + result.code()
              + ": "
              + result.detail());
    }
  }

  /** Returns a report on the calls so far. */
  public LoadReport report() {
    List<LoadReport.Row> rows = new ArrayList<>();
    for (Map.Entry<RankAndRegion, CallStatistics> entry : new TreeMap<>(statistics).entrySet()) {
      RankAndRegion key = entry.getKey();
      rows.add(entry.getValue().toRow(key.rank(), key.region().value()));
    }
    List<LoadReport.Row> ranks = new ArrayList<>();
    for (Rank rank : Rank.values()) {
      CallStatistics total = new CallStatistics();
      statistics.forEach((key, each) -> total.addAllIf(key.rank() == rank, each));
      if (total.hasCalls()) {
        ranks.add(total.toRow(rank, "all"));
      }
    }
    Map<String, Long> countsByCode = new TreeMap<>();
    codes.forEach((code, count) -> countsByCode.put(code, count.sum()));
    return new LoadReport(
        rows, ranks, heldBack.sum(), refusalsFollowed.sum(), countsByCode, List.copyOf(faults));
  }

  private CallStatistics statisticsOf(Rank rank, RegionId region) {
    return statistics.computeIfAbsent(new RankAndRegion(rank, region), k -> new CallStatistics());
  }

  /** The key of the statistics of one rank in one region. Immutable and thread-safe. */
  private record RankAndRegion(Rank rank, RegionId region) implements Comparable<RankAndRegion> {
    @Override
    public int compareTo(RankAndRegion other) {
      int byRank = rank.compareTo(other.rank);
      return byRank != 0 ? byRank : region.compareTo(other.region);
    }
  }
}
