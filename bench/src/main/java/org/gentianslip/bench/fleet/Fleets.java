package org.gentianslip.bench.fleet;

import java.util.List;
import org.gentianslip.core.id.KindId;
import org.gentianslip.core.id.Rank;
import org.gentianslip.core.id.RegionId;

/** The simulated example fleets. Stateless and thread-safe. */
public final class Fleets {

  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long BITS_PER_MEGABIT = 1_000_000;
  private static final int CUSTOMERS = 10;

  private Fleets() {}

  /** Returns both fleets. */
  public static List<FleetSpec> all() {
    return List.of(qadri(), venture());
  }

  /**
   * Returns a fleet with urgent summaries of long order histories, and short questions of the other
   * rank.
   */
  public static FleetSpec qadri() {
    var summary =
        new KindSpec(
            KindId.of("party-summary"),
            Rank.URGENT,
            3000,
            3,
            false,
            200,
            120,
            200,
            2000 * NANOS_PER_MILLI);
    var question =
        new KindSpec(
            KindId.of("drop-question"),
            Rank.OTHER,
            400,
            2,
            false,
            100,
            40,
            80,
            20_000 * NANOS_PER_MILLI);
    return new FleetSpec(
        "qadri",
        regions("pk-central", "pk-south", "pk-north"),
        List.of(summary, question),
        EngineSpec.standard(),
        NANOS_PER_MILLI,
        55 * NANOS_PER_MILLI,
        3 * NANOS_PER_MILLI,
        100 * BITS_PER_MEGABIT,
        CUSTOMERS);
  }

  /**
   * Returns a fleet with urgent short questions, and long reports of the other rank that share the
   * text of a handbook as their prefixes.
   */
  public static FleetSpec venture() {
    var question =
        new KindSpec(
            KindId.of("care-question"),
            Rank.URGENT,
            500,
            2,
            false,
            80,
            60,
            120,
            2000 * NANOS_PER_MILLI);
    var report =
        new KindSpec(
            KindId.of("glaze-report"),
            Rank.OTHER,
            6000,
            12,
            true,
            400,
            300,
            500,
            30_000 * NANOS_PER_MILLI);
    return new FleetSpec(
        "venture",
        regions("graz", "innsbruck", "wien"),
        List.of(question, report),
        EngineSpec.standard(),
        NANOS_PER_MILLI + NANOS_PER_MILLI / 2,
        55 * NANOS_PER_MILLI,
        3 * NANOS_PER_MILLI,
        1400 * BITS_PER_MEGABIT,
        CUSTOMERS);
  }

  private static List<RegionSpec> regions(String first, String second, String third) {
    return List.of(
        new RegionSpec(RegionId.of(first), 3, 3),
        new RegionSpec(RegionId.of(second), 3, 3),
        new RegionSpec(RegionId.of(third), 2, 2));
  }
}
