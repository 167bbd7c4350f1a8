package org.gentianslip.core.limit;

import org.gentianslip.core.hash.BitMixer;

/**
 * Spaces repeated attempts so that instances do not fall into step.
 *
 * <p>The pause is drawn evenly from 0 to a ceiling that doubles with each failure up to a greatest
 * value. The draw is a function of the seed, the key and the number of failures. Immutable and safe
 * for use by several threads.
 *
 * @param firstNanos the ceiling after the first failure, in nanoseconds, at least 1
 * @param maxNanos the greatest ceiling, in nanoseconds, at least {@code firstNanos}
 * @param seed the seed, which differs between instances
 */
public record Backoff(long firstNanos, long maxNanos, long seed) {

  private static final int MAX_DOUBLINGS = 30;
  private static final double UNIT = 0x1.0p-53;

  /**
   * Checks the numbers.
   *
   * @throws IllegalArgumentException if a ceiling is out of its range
   */
  public Backoff {
    if (firstNanos < 1 || maxNanos < firstNanos) {
      throw new IllegalArgumentException(
          "Ceilings must be at least 1 and rise: " + firstNanos + ", " + maxNanos);
    }
  }

  /**
   * Returns the pause before the next attempt, in nanoseconds.
   *
   * @param key what is attempted, such as the hash of a region's id
   * @param failures the failures in a row, at least 1
   */
  public long pauseNanos(long key, int failures) {
    if (failures < 1) {
      throw new IllegalArgumentException("failures must be at least 1: " + failures);
    }
    double ceiling = (double) firstNanos * Math.pow(2, Math.min(failures - 1, MAX_DOUBLINGS));
    long bits = BitMixer.mix(seed ^ BitMixer.mix(key + failures));
    return (long) (Math.min((double) maxNanos, ceiling) * ((bits >>> 11) * UNIT));
  }
}
