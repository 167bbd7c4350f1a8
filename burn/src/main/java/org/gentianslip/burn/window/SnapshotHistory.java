package org.gentianslip.burn.window;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.gentianslip.burn.metric.CounterSnapshot;
import org.gentianslip.burn.metric.RegionalSeries;
import org.gentianslip.burn.objective.Objective;

/**
 * Keeps the snapshots of the longest window and computes burn rates from them.
 *
 * <p>Snapshots must be added in the order of their times. Not thread-safe.
 */
public final class SnapshotHistory {

  private static final String REFUSALS = "gentian_refusals_total";

  private final List<Duration> windows;
  private final Deque<CounterSnapshot> snapshots = new ArrayDeque<>();

  /**
   * Creates an empty history.
   *
   * @param windows the lengths of the windows over which to compute burn rates
   * @throws IllegalArgumentException if there is no window or a window is not above 0
   */
  public SnapshotHistory(Collection<Duration> windows) {
    this.windows = windows.stream().sorted().distinct().toList();
    if (this.windows.isEmpty()) {
      throw new IllegalArgumentException("windows must not be empty");
    }
    Duration shortest = this.windows.get(0);
    if (shortest.isZero() || shortest.isNegative()) {
      throw new IllegalArgumentException(
          "windows must be above 0, but the shortest is " + shortest);
    }
  }

  /** Adds a snapshot and removes those that no window needs any more. */
  public void add(CounterSnapshot snapshot) {
    snapshots.addLast(snapshot);
    long longestWindowNanos = windows.get(windows.size() - 1).toNanos();
    while (snapshots.size() > 2 && ageNanos(second(), snapshot) >= longestWindowNanos) {
      snapshots.removeFirst();
    }
  }

  /**
   * Returns the burn of each objective, the fastest first, or an empty list before the first
   * snapshot.
   */
  public List<ObjectiveBurn> burns(List<Objective> objectives) {
    if (snapshots.isEmpty()) {
      return List.of();
    }
    List<ObjectiveBurn> burns = new ArrayList<>();
    objectives.forEach(objective -> burns.add(burn(objective)));
    burns.sort((a, b) -> Double.compare(b.score(), a.score()));
    return List.copyOf(burns);
  }

  /**
   * Returns the burn rates between successive snapshots, in the order of time.
   *
   * <p>The time of each point is relative to the last snapshot.
   */
  public List<BurnRatePoint> rates(Objective objective) {
    List<BurnRatePoint> points = new ArrayList<>();
    CounterSnapshot previous = null;
    for (CounterSnapshot snapshot : snapshots) {
      if (previous != null) {
        double rate = rate(objective, EventCounter.count(objective, previous, snapshot));
        points.add(
            new BurnRatePoint(-Duration.ofNanos(ageNanos(snapshot, last())).toMillis(), rate));
      }
      previous = snapshot;
    }
    return points;
  }

  private ObjectiveBurn burn(Objective objective) {
    List<WindowBurn> burns = new ArrayList<>();
    for (Duration window : windows) {
      burns.add(windowBurn(objective, window));
    }
    CounterSnapshot longestBaseline = baseline(windows.get(windows.size() - 1));
    EventCounts inLongestWindow = EventCounter.count(objective, longestBaseline, last());
    EventCounts sinceStart = EventCounter.count(objective, null, last());
    Map<String, Double> causes = new HashMap<>();
    inLongestWindow.byCause().forEach((cause, count) -> causes.put(cause.text(), count));
    Map<String, Double> regions = new HashMap<>();
    inLongestWindow.byRegion().forEach((region, count) -> regions.put(region.value(), count));
    return new ObjectiveBurn(
        objective,
        List.copyOf(burns),
        1 - rate(objective, sinceStart),
        score(burns),
        causes,
        regions,
        codes(objective, longestBaseline));
  }

  private WindowBurn windowBurn(Objective objective, Duration window) {
    CounterSnapshot baseline = baseline(window);
    EventCounts counts = EventCounter.count(objective, baseline, last());
    return new WindowBurn(
        window,
        Duration.ofNanos(ageNanos(baseline, last())),
        counts.total(),
        counts.bad(),
        rate(objective, counts));
  }

  private Map<String, Double> codes(Objective objective, CounterSnapshot baseline) {
    Map<String, Double> codes = new HashMap<>();
    if (objective.rank().isEmpty()) {
      return codes;
    }
    String rank = objective.rank().get().name().toLowerCase(Locale.ROOT);
    for (Map.Entry<RegionalSeries, Double> entry : last().totals().entrySet()) {
      RegionalSeries series = entry.getKey();
      boolean isOfObjective =
          series.name().equals(REFUSALS)
              && series.label("rank").equals(rank)
              && series.instanceRegion().equals(objective.region().orElseThrow());
      double count = entry.getValue() - baseline.totals().getOrDefault(series, 0.0);
      if (isOfObjective && count > 0) {
        codes.merge(series.label("code"), count, Double::sum);
      }
    }
    return codes;
  }

  /**
   * Returns the latest snapshot that is at least as old as the window, or the oldest one if there
   * is none.
   */
  private CounterSnapshot baseline(Duration window) {
    CounterSnapshot best = snapshots.getFirst();
    for (CounterSnapshot snapshot : snapshots) {
      if (ageNanos(snapshot, last()) < window.toNanos()) {
        break;
      }
      best = snapshot;
    }
    return best;
  }

  private CounterSnapshot last() {
    return snapshots.getLast();
  }

  private CounterSnapshot second() {
    var iterator = snapshots.iterator();
    iterator.next();
    return iterator.next();
  }

  private static double score(List<WindowBurn> burns) {
    if (burns.size() == 1) {
      return burns.get(0).rate();
    }
    double best = 0;
    for (int i = 1; i < burns.size(); i++) {
      best = Math.max(best, Math.min(burns.get(i - 1).rate(), burns.get(i).rate()));
    }
    return best;
  }

  private static double rate(Objective objective, EventCounts counts) {
    if (counts.bad() <= 0) {
      return 0;
    }
    double allowed = objective.errorBudgetShare();
    return allowed <= 0 ? Double.MAX_VALUE : counts.badShare() / allowed;
  }

  private static long ageNanos(CounterSnapshot then, CounterSnapshot now) {
    return now.atNanos() - then.atNanos();
  }
}
