package org.gentianslip.bench.run;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.gentianslip.bench.fleet.EngineMeter;
import org.gentianslip.bench.scenario.Arrival;
import org.gentianslip.bench.scenario.Scenario;
import org.gentianslip.core.id.Rank;

/**
 * Holds the measures of one run.
 *
 * <p>A request counts in the periods in which it was sent. For one thread.
 */
public final class RunResult implements EngineMeter {

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
  private final Period measured = new Period();
  private final Period event = new Period();
  private final Period afterEvent = new Period();
  private final List<Period> bins = new ArrayList<>();
  private final List<TimelineBin> timeline = new ArrayList<>();
  private final Map<String, long[]> customers = new TreeMap<>();
  private final Set<Arrival> sentAway = new HashSet<>();
  private long retries;
  private long slotNanos;
  private long prefixHits;
  private long prefixes;
  private long linkBytes;
  private long goodTokens;
  private long away;

  RunResult(int slotsPerEngine) {
    this.slotsPerEngine = slotsPerEngine;
    for (int i = 0; i < Scenario.RUN_SECONDS / BIN_SECONDS; i++) {
      bins.add(new Period());
    }
  }

  void onSent(Arrival arrival) {
    periods(arrival).forEach(p -> p.rank(arrival.kind().rank()).onOffered());
    if (Scenario.inEvent(arrival.sentNanos())) {
      customer(arrival)[0]++;
    }
  }

  void onEnded(Arrival arrival, Outcome outcome, long firstTokenNanos) {
    for (Period period : periods(arrival)) {
      RankResult rank = period.rank(arrival.kind().rank());
      rank.onOutcome(outcome);
      if (outcome == Outcome.GOOD || outcome == Outcome.LATE) {
        rank.onFirstToken(firstTokenNanos);
      }
    }
    if (outcome == Outcome.GOOD) {
      goodTokens += arrival.answerTokens();
    }
    if (outcome == Outcome.GOOD && Scenario.inEvent(arrival.sentNanos())) {
      customer(arrival)[1]++;
    }
  }

  void onSentAway(Arrival arrival) {
    if (isMeasured(arrival.sentNanos())) {
      sentAway.add(arrival);
    }
  }

  void onRetry() {
    retries++;
  }

  /** Ends the run: summarises the timeline and lets go of what only a run needs. */
  void finish(long bytes) {
    linkBytes = bytes;
    for (Period bin : bins) {
      timeline.add(TimelineBin.of(bin));
    }
    bins.clear();
    away = sentAway.size();
    sentAway.clear();
  }

  @Override
  public void onTokens(Rank rank, long gapNanos, int sequences) {
    measured.rank(rank).onTokens(gapNanos, sequences);
  }

  @Override
  public void onSlots(long nanos) {
    slotNanos += nanos;
  }

  @Override
  public void onPrefix(boolean hit) {
    prefixes++;
    prefixHits += hit ? 1 : 0;
  }

  /** Returns the results of all requests after the warm-up. */
  public Period measured() {
    return measured;
  }

  /** Returns the results of the requests of the event window. */
  public Period event() {
    return event;
  }

  /** Returns the results of the requests after the event window. */
  public Period afterEvent() {
    return afterEvent;
  }

  /** Returns the results by bins of {@value #BIN_SECONDS} seconds. */
  public List<TimelineBin> timeline() {
    return List.copyOf(timeline);
  }

  /** Returns the share of the measured requests that were sent to another region. */
  public double sentAwayShare() {
    return (double) away / offered();
  }

  /** Returns the share of the measured requests that were tried again. */
  public double retryShare() {
    return (double) retries / offered();
  }

  /** Returns the bytes that crossed links between regions in the whole run. */
  public long linkBytes() {
    return linkBytes;
  }

  /** Returns the share of prompts whose prefix was in the engine's cache. */
  public double prefixHitShare() {
    return prefixes == 0 ? 0 : (double) prefixHits / prefixes;
  }

  /**
   * Returns the cost of a million tokens of whole answers in time, in cents: the slots taken and
   * the bytes between regions.
   */
  public double centsPerMillionTokens() {
    double engineHours = slotNanos / (double) NANOS_PER_SECOND / slotsPerEngine / SECONDS_PER_HOUR;
    double dollars =
        engineHours * DOLLARS_PER_ENGINE_HOUR
            + linkBytes / BYTES_PER_GIGABYTE * DOLLARS_PER_GIGABYTE;
    return dollars * CENTS_PER_DOLLAR * MILLION / Math.max(1, goodTokens);
  }

  /**
   * Returns the least share of its requests in the event window that a customer outside the flood
   * got answered in time.
   */
  public double leastCustomerShare(Rank rank) {
    double least = 1;
    for (var entry : customers.entrySet()) {
      if (entry.getKey().startsWith(rank.name())) {
        long[] counts = entry.getValue();
        least = Math.min(least, (double) counts[1] / counts[0]);
      }
    }
    return least;
  }

  /** Returns the shares that the customers outside the flood got in the event window, by name. */
  public Map<String, Double> customerShares() {
    Map<String, Double> shares = new TreeMap<>();
    customers.forEach((name, counts) -> shares.put(name, (double) counts[1] / counts[0]));
    return shares;
  }

  private long offered() {
    long sum = 0;
    for (Rank rank : Rank.values()) {
      sum += measured.rank(rank).offered();
    }
    return Math.max(1, sum);
  }

  private long[] customer(Arrival arrival) {
    if (arrival.flooding()) {
      return new long[2];
    }
    String name = arrival.kind().rank() + " " + arrival.customer();
    return customers.computeIfAbsent(name, n -> new long[2]);
  }

  private List<Period> periods(Arrival arrival) {
    long sent = arrival.sentNanos();
    List<Period> periods = new ArrayList<>();
    int bin = (int) (sent / NANOS_PER_SECOND / BIN_SECONDS);
    periods.add(bins.get(Math.min(bin, bins.size() - 1)));
    if (isMeasured(sent)) {
      periods.add(measured);
    }
    if (Scenario.inEvent(sent)) {
      periods.add(event);
    } else if (sent >= Scenario.EVENT_END_SECONDS * NANOS_PER_SECOND) {
      periods.add(afterEvent);
    }
    return periods;
  }

  private static boolean isMeasured(long sentNanos) {
    return sentNanos >= Scenario.MEASURE_SECONDS * NANOS_PER_SECOND;
  }
}
