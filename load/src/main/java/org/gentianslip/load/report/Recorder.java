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
import org.gentianslip.load.call.CallResult;
import org.gentianslip.load.call.Outcome;

/**
 * Counts results by rank and region.
 *
 * <p>Counts only grow. Safe for use by several threads without locks.
 */
public final class Recorder {

  private static final int MAX_FAULTS = 20;

  private final ConcurrentMap<Key, Cell> cells = new ConcurrentHashMap<>();
  private final ConcurrentMap<String, LongAdder> codes = new ConcurrentHashMap<>();
  private final ConcurrentLinkedQueue<String> faults = new ConcurrentLinkedQueue<>();
  private final AtomicInteger faultCount = new AtomicInteger();
  private final LongAdder heldBack = new LongAdder();
  private final LongAdder refusalsFollowed = new LongAdder();

  /** Counts a call that was sent. */
  public void sent(Rank rank, RegionId region) {
    cell(rank, region).sent();
  }

  /** Counts an arrival that was not sent for the limit on calls in flight. */
  public void heldBack() {
    heldBack.increment();
  }

  /** Counts a call's end. */
  public void ended(CallResult result) {
    cell(result.spec().share().rank(), result.region()).ended(result);
    refusalsFollowed.add(result.refusals());
    if (!result.code().isEmpty()) {
      codes.computeIfAbsent(result.code(), c -> new LongAdder()).increment();
    }
    boolean fault = result.outcome() == Outcome.UNKNOWN || result.outcome() == Outcome.WRONG;
    if (fault && faultCount.incrementAndGet() <= MAX_FAULTS) {
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

  /** Returns the figures so far. */
  public LoadReport report() {
    List<LoadReport.Row> rows = new ArrayList<>();
    for (Map.Entry<Key, Cell> entry : new TreeMap<>(cells).entrySet()) {
      Key key = entry.getKey();
      rows.add(entry.getValue().row(key.rank(), key.region().value()));
    }
    List<LoadReport.Row> ranks = new ArrayList<>();
    for (Rank rank : Rank.values()) {
      Cell sum = new Cell();
      cells.forEach((key, cell) -> sum.addIf(key.rank() == rank, cell));
      if (sum.isUsed()) {
        ranks.add(sum.row(rank, "all"));
      }
    }
    Map<String, Long> codeCounts = new TreeMap<>();
    codes.forEach((code, count) -> codeCounts.put(code, count.sum()));
    return new LoadReport(
        rows, ranks, heldBack.sum(), refusalsFollowed.sum(), codeCounts, List.copyOf(faults));
  }

  private Cell cell(Rank rank, RegionId region) {
    return cells.computeIfAbsent(new Key(rank, region), k -> new Cell());
  }

  /** Names a cell. Immutable and safe for use by several threads. */
  private record Key(Rank rank, RegionId region) implements Comparable<Key> {
    @Override
    public int compareTo(Key other) {
      int byRank = rank.compareTo(other.rank);
      return byRank != 0 ? byRank : region.compareTo(other.region);
    }
  }
}
