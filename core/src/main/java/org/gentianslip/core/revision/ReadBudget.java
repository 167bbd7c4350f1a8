package org.gentianslip.core.revision;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A token bucket that limits an instance's direct reads of the config service.
 *
 * <p>In any time span, the number of reads is at most the burst plus the rate times the length of
 * the span. If callers pass times that are out of date by up to some age, the span counts as longer
 * by that age. Lock-free and thread-safe.
 */
public final class ReadBudget {

  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private final long nanosPerRead;
  private final long burstNanos;
  private final AtomicLong usedUntilNanos;

  private ReadBudget(long nanosPerRead, int burst, long nowNanos) {
    this.nanosPerRead = nanosPerRead;
    this.burstNanos = nanosPerRead * burst;
    this.usedUntilNanos = new AtomicLong(nowNanos);
  }

  /**
   * Returns a full budget.
   *
   * @param readsPerSecond the refill rate, greater than 0
   * @param burst the maximum number of accumulated reads, at least 1
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
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
   * Returns the rate at which each instance of a fleet may read the config service, in reads per
   * second.
   *
   * <p>All instances together stay below the limit even if they cannot communicate with each other.
   *
   * @param serviceReadsPerSecond the limit of the service for all readers together, in reads per
   *     second
   * @param share the share of the limit that the fleet may use, from 0 to 1
   * @param instances the number of instances in the published list
   */
  public static double rateOf(double serviceReadsPerSecond, double share, int instances) {
    return serviceReadsPerSecond * share / Math.max(1, instances);
  }

  /**
   * Removes one read from the budget if one is available, and returns whether it was.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   */
  public boolean tryTake(long nowNanos) {
    while (true) {
      long usedUntil = usedUntilNanos.get();
      long newUsedUntil = (usedUntil - nowNanos > 0 ? usedUntil : nowNanos) + nanosPerRead;
      if (newUsedUntil - nowNanos > burstNanos) {
        return false;
      }
      if (usedUntilNanos.compareAndSet(usedUntil, newUsedUntil)) {
        return true;
      }
    }
  }
}
