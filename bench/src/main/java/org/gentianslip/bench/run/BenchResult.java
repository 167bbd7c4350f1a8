package org.gentianslip.bench.run;

import org.gentianslip.bench.fleet.FleetSpec;
import org.gentianslip.bench.scenario.Arrivals;
import org.gentianslip.bench.scenario.Scenario;
import org.gentianslip.core.id.Rank;

/**
 * Holds the result of a policy in a scenario of a fleet.
 *
 * <p>Immutable, but its run result is for one thread.
 *
 * @param fleet the fleet
 * @param scenario the scenario
 * @param contender the name of the policy
 * @param run the measures
 * @param urgentWork the urgent work answered in time in the event window, as a share of what the
 *     fleet's engines can do when they are always full and every prefix is cached
 * @param otherWork the same for the other rank
 */
public record BenchResult(
    FleetSpec fleet,
    Scenario scenario,
    String contender,
    RunResult run,
    double urgentWork,
    double otherWork) {

  private static final double EVENT_SECONDS =
      Scenario.EVENT_END_SECONDS - Scenario.EVENT_START_SECONDS;

  static BenchResult of(
      FleetSpec fleet, Scenario scenario, String contender, RunResult run, Arrivals arrivals) {
    return new BenchResult(
        fleet,
        scenario,
        contender,
        run,
        work(fleet, run, arrivals, Rank.URGENT),
        work(fleet, run, arrivals, Rank.OTHER));
  }

  /** Returns the work answered in time in the event window, as a share of the capacity. */
  public double eventGoodput() {
    return urgentWork + otherWork;
  }

  private static double work(FleetSpec fleet, RunResult run, Arrivals arrivals, Rank rank) {
    double capacity = arrivals.answersPerSecond(rank) * fleet.engines() * EVENT_SECONDS;
    return run.event().rank(rank).good() / capacity;
  }
}
