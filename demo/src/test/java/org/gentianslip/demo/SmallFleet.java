package org.gentianslip.demo;

import static org.awaitility.Awaitility.await;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.gentianslip.demo.fleet.EnginePlan;
import org.gentianslip.demo.fleet.EntryNode;
import org.gentianslip.demo.fleet.Fleet;
import org.gentianslip.demo.fleet.FleetPlan;
import org.gentianslip.demo.fleet.RegionPlan;
import org.gentianslip.standin.port.FreePorts;

/** Starts small fleets for tests. Stateless and thread-safe. */
final class SmallFleet {

  private static final int PORT_COUNT = 40;
  private static final Path QADRI_SETTINGS = Path.of("..", "examples", "qadri.json");
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final ObjectMapper JSON = new ObjectMapper();

  private SmallFleet() {}

  /** Starts a fleet with the settings of the fleet qadri and the given regions. */
  static Fleet start(EnginePlan engine, RegionPlan... regions) throws IOException {
    FleetPlan plan =
        FleetPlan.named("qadri")
            .withBasePort(FreePorts.findConsecutive(PORT_COUNT))
            .withEngine(engine)
            .withRegions(regions);
    return Fleet.start(plan);
  }

  /**
   * Publishes the settings of the fleet qadri with a change to one branch, and waits until they are
   * in force at all instances.
   *
   * @param change changes the values of the branch
   */
  static void publish(Fleet fleet, String branch, Consumer<ObjectNode> change) throws IOException {
    publishWithoutWaiting(fleet, branch, change);
    long published = fleet.publishedRevision();
    for (EntryNode entry : fleet.layout().entries()) {
      await()
          .atMost(TIMEOUT)
          .until(
              () ->
                  fleet
                      .operatorJson(entry.id().value(), "/status")
                      .path("settingsRevision")
                      .asLong(),
              revision -> revision >= published);
    }
  }

  /** Publishes the settings of the fleet qadri with a change to one branch, without waiting. */
  static void publishWithoutWaiting(Fleet fleet, String branch, Consumer<ObjectNode> change)
      throws IOException {
    JsonNode root = JSON.readTree(Files.readAllBytes(QADRI_SETTINGS));
    for (JsonNode node : root.path("branches")) {
      if (node.path("id").asText().equals(branch)) {
        change.accept((ObjectNode) node.path("values"));
      }
    }
    fleet.publishSettings(List.of(root));
  }
}
