package org.gentianslip.core.time;

import java.util.concurrent.TimeUnit;

/**
 * A reading of the monotonic and the wall clock.
 *
 * <p>The monotonic clock does not count time during which the machine is suspended; the wall clock
 * does, but may step in either direction. An age is therefore the larger of the two differences.
 * Immutable and thread-safe.
 *
 * @param steadyNanos the monotonic clock, in nanoseconds
 * @param wallMillis the wall clock, in Unix milliseconds
 */
public record ClockReading(long steadyNanos, long wallMillis) {

  /** Returns the time from this reading to a later one, in nanoseconds. */
  public long ageNanos(ClockReading now) {
    long wallNanos = TimeUnit.MILLISECONDS.toNanos(now.wallMillis - wallMillis);
    return Math.max(now.steadyNanos - steadyNanos, wallNanos);
  }

  /** Returns the reading that both clocks showed some milliseconds before. */
  public ClockReading minusMillis(long millis) {
    return new ClockReading(
        steadyNanos - TimeUnit.MILLISECONDS.toNanos(millis), wallMillis - millis);
  }
}
