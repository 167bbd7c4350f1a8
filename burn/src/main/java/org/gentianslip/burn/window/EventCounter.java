package org.gentianslip.burn.window;

import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import org.gentianslip.burn.metric.CounterSnapshot;
import org.gentianslip.burn.metric.RegionalSeries;
import org.gentianslip.burn.objective.Objective;
import org.gentianslip.burn.objective.ObjectiveType;
import org.gentianslip.core.id.Rank;

/**
 * Counts the requests of an objective between two snapshots.
 *
 * <p>A first token counts as in time if it falls into a histogram bucket whose upper bound is at
 * most the target. Stateless and thread-safe.
 */
final class EventCounter {

  private static final String REQUESTS = "gentian_requests_total";
  private static final String CUSTOMER_REQUESTS = "gentian_customer_requests_total";
  private static final String FIRST_TOKEN_COUNT = "gentian_first_token_seconds_count";
  private static final String FIRST_TOKEN_BUCKET = "gentian_first_token_seconds_bucket";
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double ROUNDING_TOLERANCE_SECONDS = 1e-9;

  private EventCounter() {}

  /**
   * Returns the counts after {@code from} up to {@code to}; if {@code from} is null, since the
   * instances started.
   */
  static EventCounts count(Objective objective, CounterSnapshot from, CounterSnapshot to) {
    return objective.type() == ObjectiveType.FIRST_TOKEN
        ? countFirstTokens(objective, from, to)
        : countOutcomes(objective, from, to);
  }

  private static EventCounts countOutcomes(
      Objective objective, CounterSnapshot from, CounterSnapshot to) {
    EventCounts counts = new EventCounts();
    for (Map.Entry<RegionalSeries, Double> entry : to.totals().entrySet()) {
      RegionalSeries series = entry.getKey();
      if (!isOutcomeOf(objective, series)) {
        continue;
      }
      double count = increase(series, entry.getValue(), from);
      counts.addTotal(count);
      String outcome = series.label("outcome");
      if (!outcome.equals("completed")) {
        BadEventCause cause =
            outcome.equals("not-run") ? BadEventCause.REFUSAL : BadEventCause.UNKNOWN;
        counts.addBad(cause, series.instanceRegion(), count);
      }
    }
    return counts;
  }

  private static EventCounts countFirstTokens(
      Objective objective, CounterSnapshot from, CounterSnapshot to) {
    EventCounts counts = new EventCounts();
    double upperBound = largestBoundWithinTarget(objective, to);
    double inTime = 0;
    for (Map.Entry<RegionalSeries, Double> entry : to.totals().entrySet()) {
      RegionalSeries series = entry.getKey();
      if (!isOfRank(objective, series)) {
        continue;
      }
      if (series.name().equals(FIRST_TOKEN_COUNT)) {
        counts.addTotal(increase(series, entry.getValue(), from));
      } else if (series.name().equals(FIRST_TOKEN_BUCKET) && upperBound(series) == upperBound) {
        inTime += increase(series, entry.getValue(), from);
      }
    }
    counts.addBad(
        BadEventCause.LATENESS, objective.region().orElseThrow(), counts.total() - inTime);
    return counts;
  }

  private static double largestBoundWithinTarget(Objective objective, CounterSnapshot snapshot) {
    double targetSeconds = seconds(objective.target()) + ROUNDING_TOLERANCE_SECONDS;
    double largest = Double.NEGATIVE_INFINITY;
    for (RegionalSeries series : snapshot.totals().keySet()) {
      if (series.name().equals(FIRST_TOKEN_BUCKET) && upperBound(series) <= targetSeconds) {
        largest = Math.max(largest, upperBound(series));
      }
    }
    return largest;
  }

  private static boolean isOutcomeOf(Objective objective, RegionalSeries series) {
    if (objective.customer().isPresent()) {
      return series.name().equals(CUSTOMER_REQUESTS)
          && series.label("customer").equals(objective.customer().get().value());
    }
    return series.name().equals(REQUESTS) && isOfRank(objective, series);
  }

  private static boolean isOfRank(Objective objective, RegionalSeries series) {
    return series.label("rank").equals(label(objective.rank().orElseThrow()))
        && series.label("region").equals(objective.region().orElseThrow().value());
  }

  private static double increase(RegionalSeries series, double value, CounterSnapshot from) {
    return from == null ? value : value - from.totals().getOrDefault(series, 0.0);
  }

  private static double upperBound(RegionalSeries series) {
    String upperBound = series.label("le");
    return upperBound.equals("+Inf") ? Double.POSITIVE_INFINITY : Double.parseDouble(upperBound);
  }

  private static double seconds(Duration duration) {
    return duration.toMillis() / MILLIS_PER_SECOND;
  }

  private static String label(Rank rank) {
    return rank.name().toLowerCase(Locale.ROOT);
  }
}
