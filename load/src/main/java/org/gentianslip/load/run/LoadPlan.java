package org.gentianslip.load.run;

import java.time.Duration;
import java.util.List;
import org.gentianslip.load.work.Workload;

/**
 * The parameters of a load run.
 *
 * <p>Immutable and thread-safe.
 *
 * @param groups the groups of callers, among which arrivals are divided by weight
 * @param workload the mix of calls to send
 * @param ratePerSecond the mean rate of arrivals over all groups, in calls per second
 * @param duration how long calls keep arriving
 * @param seed the seed of the random arrivals and calls
 * @param concurrencyLimit the maximum number of calls in flight; arrivals beyond it are counted but
 *     not sent
 * @param callTimeout the maximum duration of one exchange
 */
public record LoadPlan(
    List<CallerGroup> groups,
    Workload workload,
    double ratePerSecond,
    Duration duration,
    long seed,
    int concurrencyLimit,
    Duration callTimeout) {

  /**
   * Validates the parameters.
   *
   * @throws IllegalArgumentException if a value is out of range
   */
  public LoadPlan {
    groups = List.copyOf(groups);
    if (groups.isEmpty()) {
      throw new IllegalArgumentException("groups must not be empty");
    }
    if (!(ratePerSecond > 0)) {
      throw new IllegalArgumentException("ratePerSecond must be above 0, but is " + ratePerSecond);
    }
    if (concurrencyLimit < 1) {
      throw new IllegalArgumentException(
          "concurrencyLimit must be at least 1, but is " + concurrencyLimit);
    }
    if (duration.isNegative() || duration.isZero()) {
      throw new IllegalArgumentException("duration must be above 0, but is " + duration);
    }
  }
}
