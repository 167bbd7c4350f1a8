package org.gentianslip.bench.run;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.gentianslip.bench.fleet.EngineObserver;
import org.gentianslip.bench.scenario.Arrival;
import org.gentianslip.bench.scenario.Scenario;
import org.gentianslip.core.id.Rank;

/**
 * The metrics of one simulation.
 *
 * <p>A request counts towards the periods in which it was sent. Not thread-safe.
 */
public final class SimulationMetrics implements EngineObserver {

  /** The length of a bin of the timeline, in seconds. */
  public static final int BIN_SECONDS = 10;

  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final double DOLLARS_PER_ENGINE_HOUR = 2.5;
  private static final double DOLLARS_PER_GIGABYTE = 0.08;
  private static final double SECONDS_PER_HOUR = 3600;
  private static final double BYTES_PER_GIGABYTE = 1e9;
  private static final double CENTS_PER_DOLLAR = 100;
  private static final double MILLION = 1e6;

  private final int slotsPerEngine;
  private final PeriodMetrics measured = new PeriodMetrics();
  private final PeriodMetrics event = new PeriodMetrics();
  private final PeriodMetrics afterEvent = new PeriodMetrics();
  private final List<PeriodMetrics> bins = new ArrayList<>();
  private final List<TimelineBin> timeline = new ArrayList<>();

  /** The numbers of requests sent and answered in time in the event window. */
  private final Map<String, long[]> countsByCustomer = new TreeMap<>();

  private final Set<Arrival> forwarded = new HashSet<>();
  private long retries;
  private long slotNanos;
  private long prefixHits;
  private long prefixLookups;
  private long linkBytes;
  private long goodTokens;
  private long forwardedCount;

  SimulationMetrics(int slotsPerEngine) {
    this.slotsPerEngine = slotsPerEngine;
    for (int i = 0; i < Scenario.RUN_SECONDS / BIN_SECONDS; i++) {
      bins.add(new PeriodMetrics());
    }
  }

  void recordSent(Arrival arrival) {
    periods(arrival).forEach(p -> p.rank(arrival.kind().rank()).recordOffered());
    if (Scenario.isInEventWindow(arrival.sentNanos())) {
      countsOf(arrival)[0]++;
    }
  }

  void recordEnd(Arrival arrival, RequestOutcome outcome, long firstTokenNanos) {
    for (PeriodMetrics period : periods(arrival)) {
      RankMetrics rank = period.rank(arrival.kind().rank());
      rank.recordOutcome(outcome);
      if (outcome == RequestOutcome.GOOD || outcome == RequestOutcome.LATE) {
        rank.recordFirstToken(firstTokenNanos);
      }
    }
    if (outcome == RequestOutcome.GOOD) {
      goodTokens += arrival.answerTokens();
    }
    if (outcome == RequestOutcome.GOOD && Scenario.isInEventWindow(arrival.sentNanos())) {
      countsOf(arrival)[1]++;
    }
  }

  void recordForwarded(Arrival arrival) {
    if (isMeasured(arrival.sentNanos())) {
      forwarded.add(arrival);
    }
  }

  void recordRetry() {
    retries++;
  }

  /**
   * Ends the simulation: summarises the timeline and releases the data that only a running
   * simulation needs.
   */
  void finish(long bytes) {
    linkBytes = bytes;
    for (PeriodMetrics bin : bins) {
      timeline.add(TimelineBin.of(bin));
    }
    bins.clear();
    forwardedCount = forwarded.size();
    forwarded.clear();
  }

  @Override
  public void onTokens(Rank rank, long gapNanos, int sequences) {
    measured.rank(rank).recordTokenGaps(gapNanos, sequences);
  }

  @Override
  public void onSlotsOccupied(long nanos) {
    slotNanos += nanos;
  }

  @Override
  public void onPrefixLookup(boolean hit) {
    prefixLookups++;
    prefixHits += hit ? 1 : 0;
  }

  /** Returns the metrics of all requests after the warm-up. */
  public PeriodMetrics measured() {
    return measured;
  }

  /** Returns the metrics of the requests sent in the event window. */
  public PeriodMetrics event() {
    return event;
  }

  /** Returns the metrics of the requests sent after the event window. */
  public PeriodMetrics afterEvent() {
    return afterEvent;
  }

  /** Returns the summaries of the bins of {@value #BIN_SECONDS} seconds, in the order of time. */
  public List<TimelineBin> timeline() {
    return List.copyOf(timeline);
  }

  /** Returns the share of the measured requests that were forwarded to another region. */
  public double forwardedShare() {
    return (double) forwardedCount / offered();
  }

  /** Returns the number of retries in the whole simulation per measured request. */
  public double retryShare() {
    return (double) retries / offered();
  }

  /** Returns the number of bytes sent over links between regions in the whole simulation. */
  public long linkBytes() {
    return linkBytes;
  }

  /** Returns the share of prompts whose prefix was in the cache of the engine. */
  public double prefixHitShare() {
    return prefixLookups == 0 ? 0 : (double) prefixHits / prefixLookups;
  }

  /**
   * Returns the cost of a million tokens of complete answers in time, in US cents.
   *
   * <p>The cost consists of the occupied slots and the bytes between regions.
   */
  public double centsPerMillionTokens() {
    double engineHours = slotNanos / (double) NANOS_PER_SECOND / slotsPerEngine / SECONDS_PER_HOUR;
    double dollars =
        engineHours * DOLLARS_PER_ENGINE_HOUR
            + linkBytes / BYTES_PER_GIGABYTE * DOLLARS_PER_GIGABYTE;
    return dollars * CENTS_PER_DOLLAR * MILLION / Math.max(1, goodTokens);
  }

  /**
   * Returns the minimum, over the customers outside the flood, of the share of the requests of a
   * customer in the event window that were answered in time.
   */
  public double minCustomerShare(Rank rank) {
    double min = 1;
    for (var entry : countsByCustomer.entrySet()) {
      if (entry.getKey().startsWith(rank.name())) {
        long[] counts = entry.getValue();
        min = Math.min(min, (double) counts[1] / counts[0]);
      }
    }
    return min;
  }

  /**
   * Returns, for each rank and customer outside the flood, the share of requests in the event
   * window that were answered in time.
   */
  public Map<String, Double> customerShares() {
    Map<String, Double> shares = new TreeMap<>();
    countsByCustomer.forEach(
        (customer, counts) -> shares.put(customer, (double) counts[1] / counts[0]));
    return shares;
  }

  private long offered() {
    long sum = 0;
    for (Rank rank : Rank.values()) {
      sum += measured.rank(rank).offered();
    }
    return Math.max(1, sum);
  }

  private long[] countsOf(Arrival arrival) {
    if (arrival.partOfFlood()) {
      return new long[2];
    }
    String customer = arrival.kind().rank() + " " + arrival.customer();
    return countsByCustomer.computeIfAbsent(customer, k -> new long[2]);
  }

  private List<PeriodMetrics> periods(Arrival arrival) {
    long sentNanos = arrival.sentNanos();
    List<PeriodMetrics> periods = new ArrayList<>();
    int bin = (int) (sentNanos / NANOS_PER_SECOND / BIN_SECONDS);
    periods.add(bins.get(Math.min(bin, bins.size() - 1)));
    if (isMeasured(sentNanos)) {
      periods.add(measured);
    }
    if (Scenario.isInEventWindow(sentNanos)) {
      periods.add(event);
    } else if (sentNanos >= Scenario.EVENT_END_SECONDS * NANOS_PER_SECOND) {
      periods.add(afterEvent);
    }
    return periods;
  }

  private static boolean isMeasured(long sentNanos) {
    return sentNanos >= Scenario.MEASURE_START_SECONDS * NANOS_PER_SECOND;
  }
}
