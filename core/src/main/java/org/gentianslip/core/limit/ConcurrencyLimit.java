package org.gentianslip.core.limit;

/**
 * The limit on the requests that one instance may have in flight at an engine that several
 * instances share.
 *
 * <p>Each instance owns a share of the slots in proportion to its weight; all shares add up to the
 * number of slots. Beyond its share, an instance may borrow an equal portion of the slots that were
 * free by the last report. Instances that borrow on the same report together use no more slots than
 * were free, so the number of slots is exceeded only by instances that return to their own share
 * before the next report. On a report older than the maximum age, nothing can be borrowed.
 *
 * <p>The limit is scaled by a factor that decreases when the engine refuses work or emits tokens
 * too slowly, and increases in small steps otherwise. The limit is always between 1 and the number
 * of slots. Immutable and thread-safe; callers replace the value atomically.
 */
public final class ConcurrencyLimit {

  private static final double MIN_FACTOR = 0.25;
  private static final double DECREASE_FACTOR = 0.85;
  private static final double INCREASE_STEP = 0.02;
  private static final long ADJUST_PERIOD_NANOS = 500_000_000;
  private static final long MAX_REPORT_AGE_NANOS = 5_000_000_000L;

  private final int slots;
  private final int ownSlots;
  private final EngineShare share;
  private final double factor;
  private final long adjustedNanos;

  private ConcurrencyLimit(int slots, EngineShare share, double factor, long adjustedNanos) {
    this.slots = slots;
    this.ownSlots = share.portionOf(slots);
    this.share = share;
    this.factor = factor;
    this.adjustedNanos = adjustedNanos;
  }

  /**
   * Returns the limit of an instance.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @param slots the number of slots of the engine, at least 1
   * @param share the share of the instance
   * @throws IllegalArgumentException if {@code slots} is less than 1
   */
  public static ConcurrencyLimit of(long nowNanos, int slots, EngineShare share) {
    if (slots < 1) {
      throw new IllegalArgumentException("Slots must be at least 1: " + slots);
    }
    return new ConcurrencyLimit(slots, share, 1, nowNanos);
  }

  /** Returns the limit without a report, which is the instance's own share of the slots. */
  public int limit() {
    return clamp(ownSlots * factor);
  }

  /**
   * Returns the limit on the basis of a report.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @param report the last report
   */
  public int limit(long nowNanos, EngineReport report) {
    if (nowNanos - report.reportedNanos() > MAX_REPORT_AGE_NANOS) {
      return limit();
    }
    int free = (int) (slots * factor) - report.running() - report.waiting();
    int borrowed = report.ownInFlight() + share.portionOfFree(free);
    return clamp(Math.max(ownSlots * factor, borrowed));
  }

  /** Returns the adjusted limit after the engine refused work because it was full. */
  public ConcurrencyLimit afterRefusal(long nowNanos) {
    return adjusted(nowNanos, factor * DECREASE_FACTOR);
  }

  /**
   * Returns the adjusted limit after an answer.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @param tokenNanos the mean time between the tokens of the answer, in nanoseconds
   * @param objectiveNanos the objective for the time between tokens, in nanoseconds
   */
  public ConcurrencyLimit afterAnswer(long nowNanos, long tokenNanos, long objectiveNanos) {
    return adjusted(
        nowNanos, tokenNanos > objectiveNanos ? factor * DECREASE_FACTOR : factor + INCREASE_STEP);
  }

  private ConcurrencyLimit adjusted(long nowNanos, double newFactor) {
    double clamped = Math.min(1, Math.max(MIN_FACTOR, newFactor));
    boolean tooEarly = nowNanos - adjustedNanos < ADJUST_PERIOD_NANOS;
    if (clamped == factor || tooEarly) {
      return this;
    }
    return new ConcurrencyLimit(slots, share, clamped, nowNanos);
  }

  private int clamp(double limit) {
    return (int) Math.max(1, Math.min(slots, Math.floor(limit)));
  }
}
