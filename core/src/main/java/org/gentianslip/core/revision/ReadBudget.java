package org.gentianslip.core.revision;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds an instance's direct reads of the config service by a token bucket.
 *
 * <p>In any span of time the reads are at most the burst plus the rate times the span; a span in
 * which callers bring times that are older by up to some age counts as longer by that age.
 * Lock-free and safe for use by several threads.
 */
public final class ReadBudget {

  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private final long nanosPerRead;
  private final long burstNanos;
  private final AtomicLong paidUntilNanos;

  private ReadBudget(long nanosPerRead, int burst, long nowNanos) {
    this.nanosPerRead = nanosPerRead;
    this.burstNanos = nanosPerRead * burst;
    this.paidUntilNanos = new AtomicLong(nowNanos);
  }

  /**
   * Returns a full budget.
   *
   * @param readsPerSecond the rate, greater than 0
   * @param burst the reads that may be saved up, at least 1
   * @param nowNanos the present time, in nanoseconds of the monotonic clock
   * @throws IllegalArgumentException if a number is out of its range
   */
  public static ReadBudget of(double readsPerSecond, int burst, long nowNanos) {
    if (!(readsPerSecond > 0)) {
      throw new IllegalArgumentException("Rate must be positive: " + readsPerSecond);
    }
    if (burst < 1) {
      throw new IllegalArgumentException("Burst must be at least 1: " + burst);
    }
    return new ReadBudget((long) Math.ceil(NANOS_PER_SECOND / readsPerSecond), burst, nowNanos);
  }

  /**
   * Returns the share of the service's rate that each instance of a fleet may use.
   *
   * <p>All instances together stay under the limit even if none hears from another.
   *
   * @param serviceReadsPerSecond the limit across all readers
   * @param share the share of the limit that the fleet may use, from 0 to 1
   * @param instances the instances of the published list
   */
  public static double rateOf(double serviceReadsPerSecond, double share, int instances) {
    return serviceReadsPerSecond * share / Math.max(1, instances);
  }

  /**
   * Takes one read and returns whether there was one.
   *
   * @param nowNanos the present time, in nanoseconds of the monotonic clock
   */
  public boolean tryTake(long nowNanos) {
    while (true) {
      long paid = paidUntilNanos.get();
      long next = (paid - nowNanos > 0 ? paid : nowNanos) + nanosPerRead;
      if (next - nowNanos > burstNanos) {
        return false;
      }
      if (paidUntilNanos.compareAndSet(paid, next)) {
        return true;
      }
    }
  }
}
