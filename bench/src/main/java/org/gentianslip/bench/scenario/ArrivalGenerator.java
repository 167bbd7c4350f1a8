package org.gentianslip.bench.scenario;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.gentianslip.bench.fleet.CapacityProbe;
import org.gentianslip.bench.fleet.FleetSpec;
import org.gentianslip.bench.fleet.KindSpec;
import org.gentianslip.core.hash.BitMixer;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.Rank;

/**
 * Generates the arrivals of a simulation: a Poisson process for each region and kind of work.
 *
 * <p>Each process has its own seed, so the arrivals outside a flood are the same with and without
 * it. The urgent rank accounts for {@value #URGENT_SHARE} of the load, measured in engine capacity.
 * Immutable and thread-safe.
 */
public final class ArrivalGenerator {

  private static final double URGENT_SHARE = 0.4;
  private static final int FLOODING_CUSTOMERS = 2;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final int URGENT_RANDOM_STREAM = 0;
  private static final int OTHER_RANDOM_STREAM = 1;
  private static final int FLOOD_RANDOM_STREAM = 1000;

  private final FleetSpec fleet;
  private final Map<Rank, Double> answersPerSecond = new EnumMap<>(Rank.class);

  private ArrivalGenerator(FleetSpec fleet) {
    this.fleet = fleet;
    for (KindSpec kind : fleet.kinds()) {
      answersPerSecond.put(kind.rank(), CapacityProbe.answersPerSecond(fleet.engine(), kind));
    }
  }

  /**
   * Returns a generator for a fleet, after measuring the capacity of its engines, to which the
   * rates of arrivals are proportional.
   */
  public static ArrivalGenerator of(FleetSpec fleet) {
    return new ArrivalGenerator(fleet);
  }

  /**
   * Returns the rate of answers of one engine that serves only the kind of work of a rank, in
   * answers per second.
   */
  public double answersPerSecond(Rank rank) {
    return answersPerSecond.get(rank);
  }

  /** Returns the arrivals of a simulation, in the order of time. */
  public List<Arrival> generate(Scenario scenario, long seed) {
    List<Arrival> arrivals = new ArrayList<>();
    for (int region = 0; region < fleet.regions().size(); region++) {
      for (KindSpec kind : fleet.kinds()) {
        generateLoad(scenario, seed, region, kind, arrivals);
      }
      if (scenario.flood().isPresent()) {
        generateFlood(scenario.flood().get(), seed, region, arrivals);
      }
    }
    Collections.sort(arrivals);
    return arrivals;
  }

  private void generateLoad(
      Scenario scenario, long seed, int region, KindSpec kind, List<Arrival> arrivals) {
    double capacity = answersPerSecond(kind.rank()) * fleet.regions().get(region).engineCount();
    double share = kind.rank() == Rank.URGENT ? URGENT_SHARE : 1 - URGENT_SHARE;
    double peakRate = 2 * capacity * share;
    UniformRandomProvider random =
        random(
            seed, region, kind.rank() == Rank.URGENT ? URGENT_RANDOM_STREAM : OTHER_RANDOM_STREAM);
    double seconds = nextGapSeconds(random, peakRate);
    while (seconds < Scenario.RUN_SECONDS) {
      double rate = scenario.loadShape().loadAt(region, seconds) * capacity * share;
      if (random.nextDouble() * peakRate < rate) {
        String customer = fleet.regions().get(region).id() + "-c";
        int number = random.nextInt(fleet.customersPerRegion());
        boolean regionBound = number == 0;
        arrivals.add(arrival(random, seconds, region, customer + number, kind, regionBound, false));
      }
      seconds += nextGapSeconds(random, peakRate);
    }
  }

  private void generateFlood(Flood flood, long seed, int region, List<Arrival> arrivals) {
    KindSpec kind = fleet.kind(flood.rank());
    double rate =
        flood.capacityMultiple()
            * answersPerSecond(flood.rank())
            * fleet.regions().get(region).engineCount();
    UniformRandomProvider random = random(seed, region, FLOOD_RANDOM_STREAM);
    double seconds = Scenario.EVENT_START_SECONDS + nextGapSeconds(random, rate);
    while (seconds < Scenario.EVENT_END_SECONDS) {
      String customer = fleet.regions().get(region).id() + "-flood";
      int number = random.nextInt(FLOODING_CUSTOMERS);
      arrivals.add(arrival(random, seconds, region, customer + number, kind, false, true));
      seconds += nextGapSeconds(random, rate);
    }
  }

  private static Arrival arrival(
      UniformRandomProvider random,
      double seconds,
      int region,
      String customer,
      KindSpec kind,
      boolean regionBound,
      boolean partOfFlood) {
    int number = random.nextInt(kind.prefixCount());
    String prefixName = kind.kind() + "/" + (kind.sharedPrefixes() ? "" : customer) + "/" + number;
    int range = kind.maxAnswerTokens() - kind.minAnswerTokens() + 1;
    return new Arrival(
        (long) (seconds * NANOS_PER_SECOND),
        region,
        CustomerId.of(customer),
        kind,
        BitMixer.mix(prefixName.hashCode()),
        kind.minAnswerTokens() + random.nextInt(range),
        regionBound,
        partOfFlood,
        random.nextInt(1 << 16));
  }

  private static UniformRandomProvider random(long seed, int region, int stream) {
    return RandomSource.XO_RO_SHI_RO_128_PP.create(
        new long[] {BitMixer.mix(seed), BitMixer.mix(seed + 1_000_003L * region + stream)});
  }

  private static double nextGapSeconds(UniformRandomProvider random, double ratePerSecond) {
    return -Math.log(1 - random.nextDouble()) / ratePerSecond;
  }
}
