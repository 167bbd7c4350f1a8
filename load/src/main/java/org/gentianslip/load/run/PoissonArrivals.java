package org.gentianslip.load.run;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Generates the arrival times of a Poisson process with a constant mean rate.
 *
 * <p>The times never decrease. Not thread-safe.
 */
public final class PoissonArrivals {

  private static final double NANOS_PER_SECOND = 1e9;

  private final UniformRandomProvider random;
  private final double ratePerNano;
  private double lastArrivalNanos;

  /**
   * Creates a generator of arrival times.
   *
   * @param ratePerSecond the mean rate of arrivals per second, finite and above 0
   * @throws IllegalArgumentException if the rate is not finite and above 0
   */
  public PoissonArrivals(UniformRandomProvider random, double ratePerSecond) {
    if (!(ratePerSecond > 0) || Double.isInfinite(ratePerSecond)) {
      throw new IllegalArgumentException(
          "ratePerSecond must be finite and above 0, but is " + ratePerSecond);
    }
    this.random = random;
    this.ratePerNano = ratePerSecond / NANOS_PER_SECOND;
  }

  /** Returns the time of the next arrival, in nanoseconds since the start. */
  public long nextNanos() {
    lastArrivalNanos += -Math.log1p(-random.nextDouble()) / ratePerNano;
    return (long) lastArrivalNanos;
  }
}
