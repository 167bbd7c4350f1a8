package org.gentianslip.core.limit;

import org.gentianslip.core.hash.BitMixer;

/**
 * An exponential backoff with full jitter, which keeps instances from retrying at the same time.
 *
 * <p>The pause is uniformly distributed between 0 and a ceiling, which doubles with each failure up
 * to a maximum. It is a function of the seed, the key and the number of failures. Immutable and
 * thread-safe.
 *
 * @param firstNanos the ceiling after the first failure, in nanoseconds, at least 1
 * @param maxNanos the maximum ceiling, in nanoseconds, at least {@code firstNanos}
 * @param seed the seed, which differs between instances
 */
public record Backoff(long firstNanos, long maxNanos, long seed) {

  private static final int MAX_DOUBLINGS = 30;
  private static final double FRACTION_UNIT = 0x1.0p-53;

  /**
   * Validates the numbers.
   *
   * @throws IllegalArgumentException if a ceiling is out of its range
   */
  public Backoff {
    if (firstNanos < 1 || maxNanos < firstNanos) {
      throw new IllegalArgumentException(
          "Ceilings must be at least 1 and in ascending order: " + firstNanos + ", " + maxNanos);
    }
  }

  /**
   * Returns the pause before the next attempt, in nanoseconds.
   *
   * @param key the key of the attempted operation, such as the hash of a region's id
   * @param failures the number of failures in a row, at least 1
   */
  public long pauseNanos(long key, int failures) {
    if (failures < 1) {
      throw new IllegalArgumentException("failures must be at least 1: " + failures);
    }
    double ceilingNanos = (double) firstNanos * Math.pow(2, Math.min(failures - 1, MAX_DOUBLINGS));
    long bits = BitMixer.mix(seed ^ BitMixer.mix(key + failures));
    return (long) (Math.min((double) maxNanos, ceilingNanos) * ((bits >>> 11) * FRACTION_UNIT));
  }
}
