package org.gentianslip.bench.scenario;

import java.util.List;
import java.util.Optional;
import org.gentianslip.core.id.Rank;

/** Lists the scenarios. Stateless and safe for use by several threads. */
public final class Scenarios {

  private static final double STEADY = 0.6;
  private static final double FLOOD = 5;
  private static final double PEAK_MEAN = 0.65;
  private static final double PEAK_SWING = 0.55;
  private static final double REGIONS = 3;
  private static final double HALF = 0.5;
  private static final int LARGE_REGION = 0;
  private static final int SMALL_REGION = 2;

  private Scenarios() {}

  /** Returns all scenarios, in the order of the table. */
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

  /** Returns a steady load within every region's capacity. */
  public static Scenario steady() {
    return new Scenario("steady", true, (r, t) -> STEADY, Optional.empty(), List.of());
  }

  /**
   * Returns peaks at different hours: a day lasts as long as the run, one region at a time peaks.
   */
  public static Scenario dailyPeaks() {
    LoadShape shape =
        (r, t) ->
            PEAK_MEAN
                + PEAK_SWING
                    * Math.cos(2 * Math.PI * (t / Scenario.RUN_SECONDS - (r + 0.5) / REGIONS));
    return new Scenario("daily-peaks", true, shape, Optional.empty(), List.of());
  }

  /** Returns a flood of the least urgent work. */
  public static Scenario otherFlood() {
    return flood("other-flood", Rank.OTHER);
  }

  /** Returns a flood of the most urgent work. */
  public static Scenario urgentFlood() {
    return flood("urgent-flood", Rank.URGENT);
  }

  /** Returns a region that loses half its engines. */
  public static Scenario halfLost() {
    return new Scenario(
        "half-lost",
        true,
        (r, t) -> STEADY,
        Optional.empty(),
        List.of(new Fault.EnginesLost(SMALL_REGION, 1)));
  }

  /** Returns a region that is cut off at a load slightly above its own capacity. */
  public static Scenario partition() {
    return new Scenario(
        "partition",
        false,
        (r, t) -> r == SMALL_REGION ? 1.05 : STEADY,
        Optional.empty(),
        List.of(new Fault.Partition(SMALL_REGION)));
  }

  /** Returns a region that loses all engines, which return with cold caches. */
  public static Scenario coldReturn() {
    return new Scenario(
        "cold-return",
        true,
        (r, t) -> HALF,
        Optional.empty(),
        List.of(new Fault.EnginesLost(LARGE_REGION, 3)));
  }

  private static Scenario flood(String name, Rank rank) {
    return new Scenario(
        name, false, (r, t) -> STEADY, Optional.of(new Flood(rank, FLOOD)), List.of());
  }
}
