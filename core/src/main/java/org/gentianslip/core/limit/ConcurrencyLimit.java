package org.gentianslip.core.limit;

/**
 * Limits the requests that one instance may have in flight at an engine that several share.
 *
 * <p>Each instance owns a share of the slots by its weight; the shares of all add up to the slots.
 * Beyond its share an instance may borrow an equal part of the slots that the last report showed
 * free. All instances that borrow on the same report then take no more than what was free, so the
 * slots are exceeded only by instances that return to their own share before the next report. A
 * report older than the greatest age lends nothing.
 *
 * <p>The limit is scaled by a factor that falls when the engine refuses work or lets tokens come
 * too slowly, and rises by small steps otherwise. The limit is always from 1 to the number of
 * slots. Immutable and safe for use by several threads; the holder swaps values atomically.
 */
public final class ConcurrencyLimit {

  private static final double MIN_FACTOR = 0.25;
  private static final double DECREASE = 0.85;
  private static final double INCREASE = 0.02;
  private static final long ADJUST_PERIOD_NANOS = 500_000_000;
  private static final long MAX_REPORT_AGE_NANOS = 5_000_000_000L;

  private final int slots;
  private final int share;
  private final EngineShare place;
  private final double factor;
  private final long adjustedNanos;

  private ConcurrencyLimit(int slots, EngineShare place, double factor, long adjustedNanos) {
    this.slots = slots;
    this.share = place.portionOf(slots);
    this.place = place;
    this.factor = factor;
    this.adjustedNanos = adjustedNanos;
  }

  /**
   * Returns the limit of an instance.
   *
   * @param nowNanos the present time, in nanoseconds of the monotonic clock
   * @param slots the slots of the engine, at least 1
   * @param place the share of the instance
   * @throws IllegalArgumentException if there is no slot
   */
  public static ConcurrencyLimit of(long nowNanos, int slots, EngineShare place) {
    if (slots < 1) {
      throw new IllegalArgumentException("Slots must be at least 1: " + slots);
    }
    return new ConcurrencyLimit(slots, place, 1, nowNanos);
  }

  /** Returns the limit without a report: the instance's own share of the slots. */
  public int limit() {
    return clamp(share * factor);
  }

  /**
   * Returns the limit after a report.
   *
   * @param nowNanos the present time, in nanoseconds of the monotonic clock
   * @param report the last report
   */
  public int limit(long nowNanos, EngineReport report) {
    if (nowNanos - report.reportedNanos() > MAX_REPORT_AGE_NANOS) {
      return limit();
    }
    int free = (int) (slots * factor) - report.running() - report.waiting();
    int borrowed = report.ownInFlight() + place.portionOfFree(free);
    return clamp(Math.max(share * factor, borrowed));
  }

  /** Returns the limit after the engine refused work as full. */
  public ConcurrencyLimit afterRefusal(long nowNanos) {
    return adjusted(nowNanos, factor * DECREASE);
  }

  /**
   * Returns the limit after an answer.
   *
   * @param nowNanos the present time, in nanoseconds of the monotonic clock
   * @param tokenNanos the mean time between the tokens of the answer, in nanoseconds
   * @param objectiveNanos the greatest time between tokens that is wanted, in nanoseconds
   */
  public ConcurrencyLimit afterAnswer(long nowNanos, long tokenNanos, long objectiveNanos) {
    return adjusted(nowNanos, tokenNanos > objectiveNanos ? factor * DECREASE : factor + INCREASE);
  }

  private ConcurrencyLimit adjusted(long nowNanos, double wanted) {
    double next = Math.min(1, Math.max(MIN_FACTOR, wanted));
    boolean early = nowNanos - adjustedNanos < ADJUST_PERIOD_NANOS;
    if (next == factor || early) {
      return this;
    }
    return new ConcurrencyLimit(slots, place, next, nowNanos);
  }

  private int clamp(double limit) {
    return (int) Math.max(1, Math.min(slots, Math.floor(limit)));
  }
}
