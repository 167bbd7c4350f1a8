package org.gentianslip.bench.run;

import java.util.ArrayList;
import java.util.List;
import org.gentianslip.bench.fleet.FleetSpec;
import org.gentianslip.bench.scenario.Arrival;
import org.gentianslip.bench.scenario.ArrivalGenerator;
import org.gentianslip.bench.scenario.Scenario;

/**
 * Compares policies by simulating each of them with the same arrivals.
 *
 * <p>The results depend only on the seed and the arguments. Immutable and thread-safe.
 */
public final class PolicyComparison {

  private final long seed;

  private PolicyComparison(long seed) {
    this.seed = seed;
  }

  /** Returns a comparison that derives all random arrivals and hashes from a seed. */
  public static PolicyComparison withSeed(long seed) {
    return new PolicyComparison(seed);
  }

  /** Simulates every policy in every scenario of every fleet, in the given orders. */
  public List<PolicyResult> run(
      List<FleetSpec> fleets, List<Scenario> scenarios, List<PolicySetup> setups) {
    List<PolicyResult> results = new ArrayList<>();
    for (FleetSpec fleet : fleets) {
      ArrivalGenerator generator = ArrivalGenerator.of(fleet);
      for (Scenario scenario : scenarios) {
        List<Arrival> arrivals = generator.generate(scenario, seed);
        for (PolicySetup setup : setups) {
          SimulationMetrics metrics = PolicySimulation.run(fleet, scenario, arrivals, setup, seed);
          results.add(PolicyResult.of(fleet, scenario, setup.name(), metrics, generator));
        }
      }
    }
    return results;
  }

  /** Simulates one policy in one scenario of one fleet. */
  public PolicyResult run(FleetSpec fleet, Scenario scenario, PolicySetup setup) {
    return run(List.of(fleet), List.of(scenario), List.of(setup)).get(0);
  }
}
