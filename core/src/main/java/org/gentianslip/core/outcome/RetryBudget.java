package org.gentianslip.core.outcome;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds retries to a share of the requests.
 *
 * <p>Every request adds a share of one retry; a retry takes a whole one. The sum of all retries is
 * never above the burst plus the share of all requests. Lock-free and safe for use by several
 * threads.
 */
public final class RetryBudget {

  private static final long UNITS_PER_RETRY = 1_000_000;

  private final long unitsPerRequest;
  private final long greatest;
  private final AtomicLong units;

  private RetryBudget(long unitsPerRequest, long greatest) {
    this.unitsPerRequest = unitsPerRequest;
    this.greatest = greatest;
    this.units = new AtomicLong(greatest);
  }

  /**
   * Returns a full budget.
   *
   * @param share the greatest share of retries among requests, from 0 to 1
   * @param burst the retries that may be saved up, at least 0
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

  /** Records a first attempt. */
  public void requestStarted() {
    units.updateAndGet(u -> Math.min(greatest, u + unitsPerRequest));
  }

  /** Takes one retry and returns whether there was one. */
  public boolean tryTake() {
    long before = units.getAndUpdate(u -> u >= UNITS_PER_RETRY ? u - UNITS_PER_RETRY : u);
    return before >= UNITS_PER_RETRY;
  }
}
