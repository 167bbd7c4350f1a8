package org.gentianslip.bench.scenario;

import java.util.List;
import java.util.Optional;
import org.gentianslip.core.id.Rank;

/** The scenarios of the policy comparison. Stateless and thread-safe. */
public final class Scenarios {

  private static final double STEADY_LOAD = 0.6;
  private static final double FLOOD_CAPACITY_MULTIPLE = 5;
  private static final double MEAN_LOAD = 0.65;
  private static final double LOAD_AMPLITUDE = 0.55;
  private static final double REGION_COUNT = 3;
  private static final double HALF_LOAD = 0.5;
  private static final int LARGE_REGION = 0;
  private static final int SMALL_REGION = 2;

  private Scenarios() {}

  /** Returns all scenarios, in the order of the report. */
  public static List<Scenario> all() {
    return List.of(
        steady(),
        dailyPeaks(),
        flood("other-flood", Rank.OTHER),
        flood("urgent-flood", Rank.URGENT),
        halfLost(),
        partition(),
        coldReturn());
  }

  /** Returns a scenario with a steady load within the capacity of every region. */
  public static Scenario steady() {
    return new Scenario(
        "steady", true, (region, seconds) -> STEADY_LOAD, Optional.empty(), List.of());
  }

  /**
   * Returns a scenario with daily peaks at different hours in each region; a day lasts as long as
   * the simulation.
   */
  public static Scenario dailyPeaks() {
    LoadShape shape =
        (region, seconds) ->
            MEAN_LOAD
                + LOAD_AMPLITUDE
                    * Math.cos(
                        2
                            * Math.PI
                            * (seconds / Scenario.RUN_SECONDS - (region + 0.5) / REGION_COUNT));
    return new Scenario("daily-peaks", true, shape, Optional.empty(), List.of());
  }

  /** Returns a scenario with a flood of work of the other rank. */
  public static Scenario otherFlood() {
    return flood("other-flood", Rank.OTHER);
  }

  /** Returns a scenario with a flood of work of the urgent rank. */
  public static Scenario urgentFlood() {
    return flood("urgent-flood", Rank.URGENT);
  }

  /** Returns a scenario in which a region loses half of its engines. */
  public static Scenario halfLost() {
    return new Scenario(
        "half-lost",
        true,
        (region, seconds) -> STEADY_LOAD,
        Optional.empty(),
        List.of(new Fault.EnginesLost(SMALL_REGION, 1)));
  }

  /**
   * Returns a scenario with a partition that isolates a region whose load is slightly above its own
   * capacity.
   */
  public static Scenario partition() {
    return new Scenario(
        "partition",
        false,
        (region, seconds) -> region == SMALL_REGION ? 1.05 : STEADY_LOAD,
        Optional.empty(),
        List.of(new Fault.Partition(SMALL_REGION)));
  }

  /** Returns a scenario in which a region loses all engines, which recover with empty caches. */
  public static Scenario coldReturn() {
    return new Scenario(
        "cold-return",
        true,
        (region, seconds) -> HALF_LOAD,
        Optional.empty(),
        List.of(new Fault.EnginesLost(LARGE_REGION, 3)));
  }

  private static Scenario flood(String name, Rank rank) {
    return new Scenario(
        name,
        false,
        (region, seconds) -> STEADY_LOAD,
        Optional.of(new Flood(rank, FLOOD_CAPACITY_MULTIPLE)),
        List.of());
  }
}
