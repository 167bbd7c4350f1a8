package org.gentianslip.demo.fleet;

import java.util.List;

/**
 * The plan of a fleet: its processes and their parameters.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name of the fleet, which is also that of its settings file in {@code examples/}
 * @param regions the regions
 * @param models the models that are loaded in every engine
 * @param service the name of the plain service
 * @param engine the capacity and the speed of the engines
 * @param oneWayMillis the one-way latency between regions, in milliseconds
 * @param megabitsPerSecond the capacity of the link between two regions in each direction, in
 *     megabits per second
 * @param basePort the first of the consecutive ports in use
 * @param entryHeap the maximum heap of an entry instance, such as {@code 128m}
 */
public record FleetPlan(
    String name,
    List<RegionPlan> regions,
    List<String> models,
    String service,
    EnginePlan engine,
    double oneWayMillis,
    double megabitsPerSecond,
    int basePort,
    String entryHeap) {

  /** The first port of the default range. */
  public static final int DEFAULT_BASE_PORT = 18_000;

  private static final int MAX_BASE_PORT = 65_000;

  /**
   * Copies the lists and validates the plan.
   *
   * @throws IllegalArgumentException if there is no region or the port is out of range
   */
  public FleetPlan {
    regions = List.copyOf(regions);
    models = List.copyOf(models);
    if (regions.isEmpty()) {
      throw new IllegalArgumentException("regions must not be empty");
    }
    if (basePort < 1 || basePort > MAX_BASE_PORT) {
      throw new IllegalArgumentException(
          "basePort must be from 1 to " + MAX_BASE_PORT + ", but is " + basePort);
    }
  }

  /**
   * Returns the complete plan of an example fleet.
   *
   * @throws IllegalArgumentException if there is no fleet of that name
   */
  public static FleetPlan named(String name) {
    return switch (name) {
      case "qadri" -> qadri();
      case "venture" -> venture();
      default ->
          throw new IllegalArgumentException(
              "fleet must be \"qadri\" or \"venture\", but is \"" + name + "\"");
    };
  }

  /** Returns this plan with other regions, each of which must be declared in the settings. */
  public FleetPlan withRegions(RegionPlan... others) {
    return new FleetPlan(
        name,
        List.of(others),
        models,
        service,
        engine,
        oneWayMillis,
        megabitsPerSecond,
        basePort,
        entryHeap);
  }

  /** Returns this plan with another first port. */
  public FleetPlan withBasePort(int port) {
    return new FleetPlan(
        name, regions, models, service, engine, oneWayMillis, megabitsPerSecond, port, entryHeap);
  }

  /** Returns this plan with engines of another capacity and speed. */
  public FleetPlan withEngine(EnginePlan other) {
    return new FleetPlan(
        name,
        regions,
        models,
        service,
        other,
        oneWayMillis,
        megabitsPerSecond,
        basePort,
        entryHeap);
  }

  /** Returns this plan with another maximum heap of entry instances, such as {@code 256m}. */
  public FleetPlan withEntryHeap(String heap) {
    return new FleetPlan(
        name, regions, models, service, engine, oneWayMillis, megabitsPerSecond, basePort, heap);
  }

  private static FleetPlan qadri() {
    return new FleetPlan(
        "qadri",
        threeRegions("pk-central", "pk-south", "pk-north"),
        List.of("dispatch-summary", "dispatch-short"),
        "booking",
        new EnginePlan(6, 16, 8),
        55,
        100,
        DEFAULT_BASE_PORT,
        "128m");
  }

  private static FleetPlan venture() {
    return new FleetPlan(
        "venture",
        threeRegions("graz", "wien", "innsbruck"),
        List.of("gourd-report", "gourd-care"),
        "orders",
        new EnginePlan(6, 16, 8),
        55,
        1_400,
        DEFAULT_BASE_PORT,
        "128m");
  }

  private static List<RegionPlan> threeRegions(String first, String second, String third) {
    return List.of(
        RegionPlan.of(first, 3, 3, 1),
        RegionPlan.of(second, 3, 3, 1),
        RegionPlan.of(third, 2, 2, 1));
  }
}
