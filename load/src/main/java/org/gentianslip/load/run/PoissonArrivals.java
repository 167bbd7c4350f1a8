package org.gentianslip.load.run;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Draws the times of independent arrivals at a constant mean rate.
 *
 * <p>Times never decrease. Not safe for use by several threads.
 */
public final class PoissonArrivals {

  private static final double NANOS_PER_SECOND = 1e9;

  private final UniformRandomProvider random;
  private final double ratePerNano;
  private double atNanos;

  /**
   * Makes a source of arrivals.
   *
   * @param ratePerSecond the mean number of arrivals a second, above 0
   * @throws IllegalArgumentException if the rate is not above 0
   */
  public PoissonArrivals(UniformRandomProvider random, double ratePerSecond) {
    if (!(ratePerSecond > 0) || Double.isInfinite(ratePerSecond)) {
      throw new IllegalArgumentException("rate must be above 0 a second, but is " + ratePerSecond);
    }
    this.random = random;
    this.ratePerNano = ratePerSecond / NANOS_PER_SECOND;
  }

  /** Returns the next arrival's time in nanoseconds since the start. */
  public long nextNanos() {
    atNanos += -Math.log1p(-random.nextDouble()) / ratePerNano;
    return (long) atNanos;
  }
}
