package org.gentianslip.core.routing;

import org.gentianslip.core.id.Rank;

/**
 * The parameters of an {@link ExpectedCostPolicy}; a branch of the settings tree sets them.
 *
 * <p>Immutable and thread-safe.
 *
 * @param urgentReserve the share of an instance's limits that the other rank leaves to the urgent
 *     rank, at least 0 and below 1
 * @param demandMargin the margin above the urgent rank's mean demand that the other rank leaves
 *     free, in standard deviations of a Poisson process; with 0, only {@code urgentReserve} is left
 *     free
 * @param customerReserve the share of an instance's limits that a customer above {@code
 *     customerShare} leaves to the other customers of the urgent rank, at least 0 and below 1
 * @param customerShare the share of an instance's limits above which a customer leaves {@code
 *     customerReserve} free, at least 0 and below 1
 * @param urgentSpillChargeNanos the additional wait that an urgent request accepts before it is
 *     sent to another region, beyond the round trip and the prefill of the uncached prefix, in
 *     nanoseconds
 * @param otherSpillChargeNanos the same for a request of the other rank, in nanoseconds
 * @param prefillNanosPerToken the time that an engine needs to prefill one prompt token that is not
 *     in its cache, in nanoseconds
 */
public record PolicyTuning(
    double urgentReserve,
    double demandMargin,
    double customerReserve,
    double customerShare,
    long urgentSpillChargeNanos,
    long otherSpillChargeNanos,
    long prefillNanosPerToken) {

  /** The tuning that applies where no branch sets one. */
  public static final PolicyTuning DEFAULT =
      new PolicyTuning(0.25, 2, 0.2, 0.15, 100_000_000, 4_000_000_000L, 60_000);

  /**
   * Validates the numbers.
   *
   * @throws IllegalArgumentException if a number is out of its range
   */
  public PolicyTuning {
    requireShare("urgentReserve", urgentReserve);
    requireShare("customerReserve", customerReserve);
    requireShare("customerShare", customerShare);
    if (!(demandMargin >= 0)) {
      throw new IllegalArgumentException("demandMargin must not be negative: " + demandMargin);
    }
    if (urgentSpillChargeNanos < 0 || otherSpillChargeNanos < 0 || prefillNanosPerToken < 0) {
      throw new IllegalArgumentException(
          "Spill charges and prefill time must not be negative: "
              + urgentSpillChargeNanos
              + ", "
              + otherSpillChargeNanos
              + ", "
              + prefillNanosPerToken);
    }
  }

  /**
   * Returns a copy with the given margin above the urgent rank's demand, in standard deviations.
   */
  public PolicyTuning withDemandMargin(double margin) {
    return new PolicyTuning(
        urgentReserve,
        margin,
        customerReserve,
        customerShare,
        urgentSpillChargeNanos,
        otherSpillChargeNanos,
        prefillNanosPerToken);
  }

  /** Returns a copy with the given spill charge of the urgent rank, in nanoseconds. */
  public PolicyTuning withUrgentSpillCharge(long nanos) {
    return new PolicyTuning(
        urgentReserve,
        demandMargin,
        customerReserve,
        customerShare,
        nanos,
        otherSpillChargeNanos,
        prefillNanosPerToken);
  }

  /** Returns a copy with the given spill charge of the other rank, in nanoseconds. */
  public PolicyTuning withOtherSpillCharge(long nanos) {
    return new PolicyTuning(
        urgentReserve,
        demandMargin,
        customerReserve,
        customerShare,
        urgentSpillChargeNanos,
        nanos,
        prefillNanosPerToken);
  }

  /**
   * Returns the additional wait that a request of a rank accepts before it is sent to another
   * region, in nanoseconds.
   */
  long spillChargeNanos(Rank rank) {
    return rank == Rank.URGENT ? urgentSpillChargeNanos : otherSpillChargeNanos;
  }

  private static void requireShare(String name, double share) {
    if (!(share >= 0 && share < 1)) {
      throw new IllegalArgumentException(name + " must be in [0, 1): " + share);
    }
  }
}
