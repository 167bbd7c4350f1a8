package org.gentianslip.core.overload;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Decides which requests are refused while the processor of this instance is overloaded.
 *
 * <p>A request is refused if the time that it is expected to spend in the event loop takes too
 * large a fraction of its objective, or of its remaining time. The fraction varies evenly between
 * two bounds from one request to the next, so the share of refused requests grows with the delay
 * and settles where the processor just keeps up. One fixed fraction would refuse all or none. Ranks
 * other than 0 have lower bounds, so they are refused first. Thread-safe.
 */
public final class ProcessorAdmission {

  /**
   * The passes of the event loop that a request spends outside its measured wait: unread in the
   * socket, and until the answer of the backend server is read.
   */
  private static final int OTHER_PASSES = 2;

  /** The bounds of the fraction for rank 0. */
  private static final double URGENT_LOW = 0.3;

  private static final double URGENT_HIGH = 0.6;

  /** The bounds of the fraction for other ranks. */
  private static final double OTHER_LOW = 0.2;

  private static final double OTHER_HIGH = 0.4;

  /**
   * The longest objective that counts. All requests of a loop share its delay, so the delay that a
   * long objective allows would make the requests with short objectives late.
   */
  private static final double MAX_OBJECTIVE_MILLIS = 1_000;

  /** The time that every request may spend, so that short objectives leave room for jitter. */
  private static final double MIN_LIMIT_MILLIS = 60;

  /** The largest fraction of the remaining time that may be spent here. */
  private static final double REMAINING_SHARE = 0.5;

  /** The multiples of this number, modulo 1, are spread evenly from 0 to 1. */
  private static final double GOLDEN_RATIO = 0.6180339887498949;

  private static final double NANOS_PER_MILLI = 1e6;

  /** How long a refusal counts as present, in nanoseconds. */
  private static final long REFUSING_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private final AtomicLong decisions = new AtomicLong();
  private volatile long refusedNanos;
  private volatile boolean hasRefused;

  /**
   * Decides on a request that is about to be handled; its wait must have been recorded.
   *
   * @param load the load of the processor
   * @param waitNanos the time since the request was read, in nanoseconds
   * @param urgent whether the rank of the request is 0
   * @param objectiveMillis the target time to the answer, in milliseconds
   * @param remainingMillis how long the caller still waits, in milliseconds
   */
  public ProcessorDecision decide(
      long nowNanos,
      ProcessorLoad load,
      long waitNanos,
      boolean urgent,
      long objectiveMillis,
      long remainingMillis) {
    if (!load.isOverloaded(nowNanos)) {
      return ProcessorDecision.ADMITTED;
    }
    double expectedMillis =
        (waitNanos + OTHER_PASSES * load.delayNanos(nowNanos)) / NANOS_PER_MILLI;
    double limitMillis = limitMillis(urgent, objectiveMillis, remainingMillis);
    if (expectedMillis <= limitMillis) {
      return ProcessorDecision.ADMITTED;
    }
    refusedNanos = nowNanos;
    hasRefused = true;
    return new ProcessorDecision.Refused(expectedMillis, limitMillis);
  }

  private double limitMillis(boolean urgent, long objectiveMillis, long remainingMillis) {
    double low = urgent ? URGENT_LOW : OTHER_LOW;
    double high = urgent ? URGENT_HIGH : OTHER_HIGH;
    double spread = decisions.incrementAndGet() * GOLDEN_RATIO % 1;
    double fraction = low + (high - low) * spread;
    double limit = fraction * Math.min(objectiveMillis, MAX_OBJECTIVE_MILLIS);
    return Math.min(Math.max(limit, MIN_LIMIT_MILLIS), REMAINING_SHARE * remainingMillis);
  }

  /** Returns whether a request was refused in the last 250 ms. */
  public boolean isRefusing(long nowNanos) {
    return hasRefused && nowNanos - refusedNanos < REFUSING_NANOS;
  }
}
