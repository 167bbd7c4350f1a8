package org.gentianslip.bench.run;

import java.util.ArrayList;
import java.util.List;
import org.gentianslip.bench.fleet.FleetSpec;
import org.gentianslip.bench.scenario.Arrival;
import org.gentianslip.bench.scenario.Arrivals;
import org.gentianslip.bench.scenario.Scenario;

/**
 * Runs policies against the same arrivals.
 *
 * <p>Its results are a function of the seed. Immutable and safe for use by several threads.
 */
public final class Bench {

  private final long seed;

  private Bench(long seed) {
    this.seed = seed;
  }

  /** Returns a bench that draws all arrivals and hashes from a seed. */
  public static Bench withSeed(long seed) {
    return new Bench(seed);
  }

  /** Runs every policy in every scenario of every fleet, in the given orders. */
  public List<BenchResult> run(
      List<FleetSpec> fleets, List<Scenario> scenarios, List<Contender> contenders) {
    List<BenchResult> results = new ArrayList<>();
    for (FleetSpec fleet : fleets) {
      Arrivals source = Arrivals.of(fleet);
      for (Scenario scenario : scenarios) {
        List<Arrival> arrivals = source.draw(scenario, seed);
        for (Contender contender : contenders) {
          RunResult run = BenchRun.run(fleet, scenario, arrivals, contender, seed);
          results.add(BenchResult.of(fleet, scenario, contender.name(), run, source));
        }
      }
    }
    return results;
  }

  /** Runs one policy in one scenario of a fleet. */
  public BenchResult run(FleetSpec fleet, Scenario scenario, Contender contender) {
    return run(List.of(fleet), List.of(scenario), List.of(contender)).get(0);
  }
}
