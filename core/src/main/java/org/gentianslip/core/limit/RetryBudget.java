package org.gentianslip.core.limit;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Allows retries as a fixed share of the requests.
 *
 * <p>Each request earns a fraction of a retry, and earned retries are kept up to a bound. So over
 * any time, the retries are at most that fraction of the requests plus the bound. The budget starts
 * full. Safe for use by several threads, without a lock.
 */
public final class RetryBudget {

  private static final long PARTS_PER_RETRY = 1_000_000;

  private final long partsPerRequest;
  private final long maxParts;
  private final AtomicLong parts;

  private RetryBudget(long partsPerRequest, long maxParts) {
    this.partsPerRequest = partsPerRequest;
    this.maxParts = maxParts;
    this.parts = new AtomicLong(maxParts);
  }

  /**
   * Returns a budget.
   *
   * @param retriesPerRequest the retries that a request earns, from 0 to 1
   * @param maxSaved the greatest number of retries that are kept, at least 0
   * @throws IllegalArgumentException if a number is out of its range
   */
  public static RetryBudget of(double retriesPerRequest, int maxSaved) {
    if (!(retriesPerRequest >= 0 && retriesPerRequest <= 1)) {
      throw new IllegalArgumentException(
          "retriesPerRequest must be in [0, 1]: " + retriesPerRequest);
    }
    if (maxSaved < 0) {
      throw new IllegalArgumentException("maxSaved must not be negative: " + maxSaved);
    }
    return new RetryBudget(
        (long) (retriesPerRequest * PARTS_PER_RETRY), maxSaved * PARTS_PER_RETRY);
  }

  /** Notes a request, not a retry. */
  public void onRequest() {
    parts.updateAndGet(p -> Math.min(maxParts, p + partsPerRequest));
  }

  /** Takes a retry out of the budget; returns whether there was one. */
  public boolean tryRetry() {
    long before = parts.getAndUpdate(p -> p >= PARTS_PER_RETRY ? p - PARTS_PER_RETRY : p);
    return before >= PARTS_PER_RETRY;
  }
}
