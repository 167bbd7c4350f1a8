package org.gentianslip.bench.run;

import org.gentianslip.bench.fleet.FleetSpec;
import org.gentianslip.bench.scenario.ArrivalGenerator;
import org.gentianslip.bench.scenario.Scenario;
import org.gentianslip.core.id.Rank;

/**
 * The result of one policy in one scenario of one fleet.
 *
 * <p>Immutable, but its metrics are not thread-safe.
 *
 * @param fleet the fleet
 * @param scenario the scenario
 * @param policyName the name of the policy
 * @param metrics the metrics of the simulation
 * @param urgentWorkShare the urgent work answered in time in the event window, as a share of the
 *     capacity of the engines when they are saturated and every prefix is cached
 * @param otherWorkShare the same for the work of the other rank
 */
public record PolicyResult(
    FleetSpec fleet,
    Scenario scenario,
    String policyName,
    SimulationMetrics metrics,
    double urgentWorkShare,
    double otherWorkShare) {

  private static final double EVENT_SECONDS =
      Scenario.EVENT_END_SECONDS - Scenario.EVENT_START_SECONDS;

  static PolicyResult of(
      FleetSpec fleet,
      Scenario scenario,
      String policyName,
      SimulationMetrics metrics,
      ArrivalGenerator arrivals) {
    return new PolicyResult(
        fleet,
        scenario,
        policyName,
        metrics,
        workShare(fleet, metrics, arrivals, Rank.URGENT),
        workShare(fleet, metrics, arrivals, Rank.OTHER));
  }

  /**
   * Returns the work of both ranks answered in time in the event window, as a share of the
   * capacity.
   */
  public double eventGoodput() {
    return urgentWorkShare + otherWorkShare;
  }

  private static double workShare(
      FleetSpec fleet, SimulationMetrics metrics, ArrivalGenerator arrivals, Rank rank) {
    double answersAtCapacity =
        arrivals.answersPerSecond(rank) * fleet.engineCount() * EVENT_SECONDS;
    return metrics.event().rank(rank).good() / answersAtCapacity;
  }
}
