package org.gentianslip.demo;

import java.io.IOException;
import org.gentianslip.demo.fleet.EnginePlan;
import org.gentianslip.demo.fleet.Fleet;
import org.gentianslip.demo.fleet.FleetPlan;
import org.gentianslip.demo.fleet.RegionPlan;

/** Starts small fleets for tests. Stateless and safe for use by several threads. */
final class SmallFleet {

  private static final int MAX_PORTS = 40;

  private SmallFleet() {}

  /** Starts a fleet with the settings of qadri and the given regions. */
  static Fleet start(EnginePlan engine, RegionPlan... regions) throws IOException {
    FleetPlan plan =
        FleetPlan.named("qadri")
            .withBasePort(FreePorts.row(MAX_PORTS))
            .withEngine(engine)
            .withRegions(regions);
    return Fleet.start(plan);
  }
}
