package org.gentianslip.core.outcome;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits retries to a share of the requests.
 *
 * <p>Every request adds a fraction of a retry to the budget; a retry removes a whole one. The
 * number of retries never exceeds the burst plus the share of all requests. Lock-free and
 * thread-safe.
 */
public final class RetryBudget {

  private static final long UNITS_PER_RETRY = 1_000_000;

  private final long unitsPerRequest;
  private final long maxUnits;
  private final AtomicLong units;

  private RetryBudget(long unitsPerRequest, long maxUnits) {
    this.unitsPerRequest = unitsPerRequest;
    this.maxUnits = maxUnits;
    this.units = new AtomicLong(maxUnits);
  }

  /**
   * Returns a full budget.
   *
   * @param share the maximum ratio of retries to requests, from 0 to 1
   * @param burst the maximum number of accumulated retries, at least 0
   * @throws IllegalArgumentException if a number is out of its range
   */
  public static RetryBudget of(double share, int burst) {
    if (!(share >= 0 && share <= 1)) {
      throw new IllegalArgumentException("Share must be from 0 to 1: " + share);
    }
    if (burst < 0) {
      throw new IllegalArgumentException("Burst must not be negative: " + burst);
    }
    return new RetryBudget((long) (share * UNITS_PER_RETRY), burst * UNITS_PER_RETRY);
  }

  /** Records a request, that is, its first attempt. */
  public void recordRequest() {
    units.updateAndGet(u -> Math.min(maxUnits, u + unitsPerRequest));
  }

  /** Removes one retry from the budget if one is available, and returns whether it was. */
  public boolean tryTake() {
    long previousUnits = units.getAndUpdate(u -> u >= UNITS_PER_RETRY ? u - UNITS_PER_RETRY : u);
    return previousUnits >= UNITS_PER_RETRY;
  }
}
