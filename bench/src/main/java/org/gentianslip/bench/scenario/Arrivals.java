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
 * Draws the arrivals of a run: a Poisson process for each region and kind of work.
 *
 * <p>Each process has its own seed, so the arrivals outside a flood are the same with and without
 * it. The urgent rank makes {@value #URGENT_SHARE} of the work of the load. Immutable and safe for
 * use by several threads.
 */
public final class Arrivals {

  private static final double URGENT_SHARE = 0.4;
  private static final int FLOODING_CUSTOMERS = 2;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final int URGENT_STREAM = 0;
  private static final int OTHER_STREAM = 1;
  private static final int FLOOD_STREAM = 1000;

  private final FleetSpec fleet;
  private final Map<Rank, Double> answersPerSecond = new EnumMap<>(Rank.class);

  private Arrivals(FleetSpec fleet) {
    this.fleet = fleet;
    for (KindSpec kind : fleet.kinds()) {
      answersPerSecond.put(kind.rank(), CapacityProbe.answersPerSecond(fleet.engine(), kind));
    }
  }

  /** Measures the engines of a fleet, for arrivals in proportion to their capacity. */
  public static Arrivals of(FleetSpec fleet) {
    return new Arrivals(fleet);
  }

  /** Returns the answers a second that one engine gives of a rank's kind of work alone. */
  public double answersPerSecond(Rank rank) {
    return answersPerSecond.get(rank);
  }

  /** Returns the arrivals of a run, in the order of time. */
  public List<Arrival> draw(Scenario scenario, long seed) {
    List<Arrival> arrivals = new ArrayList<>();
    for (int region = 0; region < fleet.regions().size(); region++) {
      for (KindSpec kind : fleet.kinds()) {
        drawLoad(scenario, seed, region, kind, arrivals);
      }
      if (scenario.flood().isPresent()) {
        drawFlood(scenario.flood().get(), seed, region, arrivals);
      }
    }
    Collections.sort(arrivals);
    return arrivals;
  }

  private void drawLoad(
      Scenario scenario, long seed, int region, KindSpec kind, List<Arrival> arrivals) {
    double capacity = answersPerSecond(kind.rank()) * fleet.regions().get(region).engines();
    double share = kind.rank() == Rank.URGENT ? URGENT_SHARE : 1 - URGENT_SHARE;
    double peak = 2 * capacity * share;
    UniformRandomProvider random =
        random(seed, region, kind.rank() == Rank.URGENT ? URGENT_STREAM : OTHER_STREAM);
    double seconds = pause(random, peak);
    while (seconds < Scenario.RUN_SECONDS) {
      double wanted = scenario.shape().load(region, seconds) * capacity * share;
      if (random.nextDouble() * peak < wanted) {
        String customer = fleet.regions().get(region).id() + "-c";
        int number = random.nextInt(fleet.customers());
        boolean bound = number == 0;
        arrivals.add(arrival(random, seconds, region, customer + number, kind, bound, false));
      }
      seconds += pause(random, peak);
    }
  }

  private void drawFlood(Flood flood, long seed, int region, List<Arrival> arrivals) {
    KindSpec kind = fleet.kind(flood.rank());
    double rate =
        flood.timesCapacity()
            * answersPerSecond(flood.rank())
            * fleet.regions().get(region).engines();
    UniformRandomProvider random = random(seed, region, FLOOD_STREAM);
    double seconds = Scenario.EVENT_START_SECONDS + pause(random, rate);
    while (seconds < Scenario.EVENT_END_SECONDS) {
      String customer = fleet.regions().get(region).id() + "-flood";
      int number = random.nextInt(FLOODING_CUSTOMERS);
      arrivals.add(arrival(random, seconds, region, customer + number, kind, false, true));
      seconds += pause(random, rate);
    }
  }

  private static Arrival arrival(
      UniformRandomProvider random,
      double seconds,
      int region,
      String customer,
      KindSpec kind,
      boolean bound,
      boolean flooding) {
    int number = random.nextInt(kind.prefixes());
    String prefix = kind.kind() + "/" + (kind.shared() ? "" : customer) + "/" + number;
    int range = kind.maxAnswerTokens() - kind.minAnswerTokens() + 1;
    return new Arrival(
        (long) (seconds * NANOS_PER_SECOND),
        region,
        CustomerId.of(customer),
        kind,
        BitMixer.mix(prefix.hashCode()),
        kind.minAnswerTokens() + random.nextInt(range),
        bound,
        flooding,
        random.nextInt(1 << 16));
  }

  private static UniformRandomProvider random(long seed, int region, int stream) {
    return RandomSource.XO_RO_SHI_RO_128_PP.create(
        new long[] {BitMixer.mix(seed), BitMixer.mix(seed + 1_000_003L * region + stream)});
  }

  private static double pause(UniformRandomProvider random, double perSecond) {
    return -Math.log(1 - random.nextDouble()) / perSecond;
  }
}
