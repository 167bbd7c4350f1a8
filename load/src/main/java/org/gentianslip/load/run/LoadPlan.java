package org.gentianslip.load.run;

import java.time.Duration;
import java.util.List;
import org.gentianslip.load.work.Workload;

/**
 * What a run sends.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param groups the callers, which share the arrivals by their weights
 * @param workload the mix of calls
 * @param ratePerSecond the mean number of arrivals a second over all groups
 * @param length how long calls arrive
 * @param seed the seed of arrivals and calls
 * @param concurrencyLimit the greatest number of calls in flight; arrivals beyond it are held back
 * @param callTimeout the longest time that one exchange may take
 */
public record LoadPlan(
    List<CallerGroup> groups,
    Workload workload,
    double ratePerSecond,
    Duration length,
    long seed,
    int concurrencyLimit,
    Duration callTimeout) {

  /**
   * Checks the plan.
   *
   * @throws IllegalArgumentException if a value is out of range
   */
  public LoadPlan {
    groups = List.copyOf(groups);
    if (groups.isEmpty()) {
      throw new IllegalArgumentException("a run must have a group of callers");
    }
    if (!(ratePerSecond > 0)) {
      throw new IllegalArgumentException("rate must be above 0 a second, but is " + ratePerSecond);
    }
    if (concurrencyLimit < 1) {
      throw new IllegalArgumentException(
          "concurrencyLimit must be at least 1, but is " + concurrencyLimit);
    }
    if (length.isNegative() || length.isZero()) {
      throw new IllegalArgumentException("length must be above 0, but is " + length);
    }
  }
}
