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
import org.gentianslip.burn.metric.Series;
import org.gentianslip.burn.metric.Snapshot;
import org.gentianslip.burn.objective.Objective;

/**
 * Keeps snapshots for the longest window and computes burn rates from them.
 *
 * <p>Snapshots come in the order of their times; at least one window is kept. Not safe for use by
 * several threads.
 */
public final class History {

  private static final String REFUSALS = "gentian_refusals_total";

  private final List<Duration> windows;
  private final Deque<Snapshot> snapshots = new ArrayDeque<>();

  /**
   * Makes an empty history.
   *
   * @param windows the windows to compute burn rates over
   * @throws IllegalArgumentException if there is no window or one is not above 0
   */
  public History(Collection<Duration> windows) {
    this.windows = windows.stream().sorted().distinct().toList();
    if (this.windows.isEmpty()) {
      throw new IllegalArgumentException("there must be a window");
    }
    Duration shortest = this.windows.get(0);
    if (shortest.isZero() || shortest.isNegative()) {
      throw new IllegalArgumentException("a window must be above 0, but is " + shortest);
    }
  }

  /** Adds a snapshot and drops those that no window needs any more. */
  public void add(Snapshot snapshot) {
    snapshots.addLast(snapshot);
    long longest = windows.get(windows.size() - 1).toNanos();
    while (snapshots.size() > 2 && age(second(), snapshot) >= longest) {
      snapshots.removeFirst();
    }
  }

  /** Returns the burn of each objective, the fastest first; empty before the first snapshot. */
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
   * Returns the burn rate between each two successive snapshots.
   *
   * <p>Each point is a time in seconds before the last snapshot and a rate.
   */
  public List<RatePoint> rates(Objective objective) {
    List<RatePoint> points = new ArrayList<>();
    Snapshot before = null;
    for (Snapshot snapshot : snapshots) {
      if (before != null) {
        double rate = rate(objective, EventCounter.count(objective, before, snapshot));
        points.add(new RatePoint(-Duration.ofNanos(age(snapshot, last())).toMillis(), rate));
      }
      before = snapshot;
    }
    return points;
  }

  private ObjectiveBurn burn(Objective objective) {
    List<WindowBurn> burns = new ArrayList<>();
    for (Duration window : windows) {
      burns.add(windowBurn(objective, window));
    }
    Snapshot longest = baseline(windows.get(windows.size() - 1));
    EventCounts recent = EventCounter.count(objective, longest, last());
    EventCounts all = EventCounter.count(objective, null, last());
    Map<String, Double> causes = new HashMap<>();
    recent.byCause().forEach((cause, count) -> causes.put(cause.text(), count));
    Map<String, Double> regions = new HashMap<>();
    recent.byRegion().forEach((region, count) -> regions.put(region.value(), count));
    return new ObjectiveBurn(
        objective,
        List.copyOf(burns),
        1 - rate(objective, all),
        score(burns),
        causes,
        regions,
        codes(objective, longest));
  }

  private WindowBurn windowBurn(Objective objective, Duration window) {
    Snapshot from = baseline(window);
    EventCounts counts = EventCounter.count(objective, from, last());
    return new WindowBurn(
        window,
        Duration.ofNanos(age(from, last())),
        counts.total(),
        counts.bad(),
        rate(objective, counts));
  }

  private Map<String, Double> codes(Objective objective, Snapshot from) {
    Map<String, Double> codes = new HashMap<>();
    if (objective.rank().isEmpty()) {
      return codes;
    }
    String rank = objective.rank().get().name().toLowerCase(Locale.ROOT);
    for (Map.Entry<Series, Double> entry : last().totals().entrySet()) {
      Series series = entry.getKey();
      boolean counts =
          series.name().equals(REFUSALS)
              && series.label("rank").equals(rank)
              && series.instanceRegion().equals(objective.region().orElseThrow());
      double count = entry.getValue() - from.totals().getOrDefault(series, 0.0);
      if (counts && count > 0) {
        codes.merge(series.label("code"), count, Double::sum);
      }
    }
    return codes;
  }

  /** Returns the youngest snapshot that is as old as the window, or else the oldest. */
  private Snapshot baseline(Duration window) {
    Snapshot best = snapshots.getFirst();
    for (Snapshot snapshot : snapshots) {
      if (age(snapshot, last()) < window.toNanos()) {
        break;
      }
      best = snapshot;
    }
    return best;
  }

  private Snapshot last() {
    return snapshots.getLast();
  }

  private Snapshot second() {
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
    double allowed = objective.allowedBadShare();
    return allowed <= 0 ? Double.MAX_VALUE : counts.badShare() / allowed;
  }

  private static long age(Snapshot then, Snapshot now) {
    return now.atNanos() - then.atNanos();
  }
}
