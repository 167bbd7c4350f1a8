package org.gentianslip.burn.window;

import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import org.gentianslip.burn.metric.Series;
import org.gentianslip.burn.metric.Snapshot;
import org.gentianslip.burn.objective.Objective;
import org.gentianslip.burn.objective.ObjectiveType;
import org.gentianslip.core.id.Rank;

/**
 * Counts an objective's requests between two snapshots.
 *
 * <p>A first token counts as in time if it lies in a bucket that ends at or before the target.
 * Stateless and safe for use by several threads.
 */
final class EventCounter {

  private static final String REQUESTS = "gentian_requests_total";
  private static final String CUSTOMER_REQUESTS = "gentian_customer_requests_total";
  private static final String FIRST_TOKEN_COUNT = "gentian_first_token_seconds_count";
  private static final String FIRST_TOKEN_BUCKET = "gentian_first_token_seconds_bucket";
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double ROUNDING_SECONDS = 1e-9;

  private EventCounter() {}

  /** Returns the counts after {@code from} until {@code to}; null stands for the beginning. */
  static EventCounts count(Objective objective, Snapshot from, Snapshot to) {
    return objective.type() == ObjectiveType.FIRST_TOKEN
        ? firstTokens(objective, from, to)
        : outcomes(objective, from, to);
  }

  private static EventCounts outcomes(Objective objective, Snapshot from, Snapshot to) {
    EventCounts counts = new EventCounts();
    for (Map.Entry<Series, Double> entry : to.totals().entrySet()) {
      Series series = entry.getKey();
      if (!isOutcomeOf(objective, series)) {
        continue;
      }
      double count = increase(series, entry.getValue(), from);
      counts.addTotal(count);
      String outcome = series.label("outcome");
      if (!outcome.equals("completed")) {
        Cause cause = outcome.equals("not-run") ? Cause.REFUSAL : Cause.UNKNOWN;
        counts.addBad(cause, series.instanceRegion(), count);
      }
    }
    return counts;
  }

  private static EventCounts firstTokens(Objective objective, Snapshot from, Snapshot to) {
    EventCounts counts = new EventCounts();
    double bound = inTimeBound(objective, to);
    double inTime = 0;
    for (Map.Entry<Series, Double> entry : to.totals().entrySet()) {
      Series series = entry.getKey();
      if (!isOfRank(objective, series)) {
        continue;
      }
      if (series.name().equals(FIRST_TOKEN_COUNT)) {
        counts.addTotal(increase(series, entry.getValue(), from));
      } else if (series.name().equals(FIRST_TOKEN_BUCKET) && bound(series) == bound) {
        inTime += increase(series, entry.getValue(), from);
      }
    }
    counts.addBad(Cause.LATENESS, objective.region().orElseThrow(), counts.total() - inTime);
    return counts;
  }

  private static double inTimeBound(Objective objective, Snapshot snapshot) {
    double target = seconds(objective.target()) + ROUNDING_SECONDS;
    double best = Double.NEGATIVE_INFINITY;
    for (Series series : snapshot.totals().keySet()) {
      if (series.name().equals(FIRST_TOKEN_BUCKET) && bound(series) <= target) {
        best = Math.max(best, bound(series));
      }
    }
    return best;
  }

  private static boolean isOutcomeOf(Objective objective, Series series) {
    if (objective.customer().isPresent()) {
      return series.name().equals(CUSTOMER_REQUESTS)
          && series.label("customer").equals(objective.customer().get().value());
    }
    return series.name().equals(REQUESTS) && isOfRank(objective, series);
  }

  private static boolean isOfRank(Objective objective, Series series) {
    return series.label("rank").equals(label(objective.rank().orElseThrow()))
        && series.label("region").equals(objective.region().orElseThrow().value());
  }

  private static double increase(Series series, double now, Snapshot from) {
    return from == null ? now : now - from.totals().getOrDefault(series, 0.0);
  }

  private static double bound(Series series) {
    String bound = series.label("le");
    return bound.equals("+Inf") ? Double.POSITIVE_INFINITY : Double.parseDouble(bound);
  }

  private static double seconds(Duration duration) {
    return duration.toMillis() / MILLIS_PER_SECOND;
  }

  private static String label(Rank rank) {
    return rank.name().toLowerCase(Locale.ROOT);
  }
}
