package org.gentianslip.core.routing;

import org.gentianslip.core.id.Rank;

/**
 * Tunes an {@link ExpectedCostPolicy}; a branch of the settings tree gives the values.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param urgentReserve the share of an instance's limits that the other rank leaves to the urgent
 *     one, from 0 to below 1
 * @param demandMargin the margin above the urgent rank's mean demand that the other rank leaves, in
 *     standard deviations of a Poisson process; 0 leaves only {@code urgentReserve}
 * @param customerReserve the share of an instance's limits that a customer over its share leaves to
 *     the other customers of the urgent rank, from 0 to below 1
 * @param customerShare the share of an instance's limits above which a customer leaves that
 *     reserve, from 0 to 1
 * @param urgentCharge the wait that is borne rather than send an urgent request away, beyond what
 *     the way and the cold prefix cost, in nanoseconds
 * @param otherCharge the same for the other rank, in nanoseconds
 * @param promptTokenTime the time that an engine needs for a prompt token that is not in its cache,
 *     in nanoseconds
 */
public record PolicyTuning(
    double urgentReserve,
    double demandMargin,
    double customerReserve,
    double customerShare,
    long urgentCharge,
    long otherCharge,
    long promptTokenTime) {

  /** The tuning where no branch sets one. */
  public static final PolicyTuning DEFAULT =
      new PolicyTuning(0.25, 2, 0.2, 0.15, 100_000_000, 4_000_000_000L, 60_000);

  /**
   * Checks the numbers.
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
    if (urgentCharge < 0 || otherCharge < 0 || promptTokenTime < 0) {
      throw new IllegalArgumentException(
          "Times must not be negative: "
              + urgentCharge
              + ", "
              + otherCharge
              + ", "
              + promptTokenTime);
    }
  }

  /** Returns the same tuning with another margin above the urgent rank's demand. */
  public PolicyTuning withDemandMargin(double margin) {
    return new PolicyTuning(
        urgentReserve,
        margin,
        customerReserve,
        customerShare,
        urgentCharge,
        otherCharge,
        promptTokenTime);
  }

  /** Returns the same tuning with another charge of the urgent rank, in nanoseconds. */
  public PolicyTuning withUrgentSpillCharge(long charge) {
    return new PolicyTuning(
        urgentReserve,
        demandMargin,
        customerReserve,
        customerShare,
        charge,
        otherCharge,
        promptTokenTime);
  }

  /** Returns the same tuning with another charge of the other rank, in nanoseconds. */
  public PolicyTuning withOtherSpillCharge(long charge) {
    return new PolicyTuning(
        urgentReserve,
        demandMargin,
        customerReserve,
        customerShare,
        urgentCharge,
        charge,
        promptTokenTime);
  }

  /** Returns the wait that is borne rather than send a request of a rank away, in nanoseconds. */
  long charge(Rank rank) {
    return rank == Rank.URGENT ? urgentCharge : otherCharge;
  }

  private static void requireShare(String name, double share) {
    if (!(share >= 0 && share < 1)) {
      throw new IllegalArgumentException(name + " must be in [0, 1): " + share);
    }
  }
}
