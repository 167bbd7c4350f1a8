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

/** Starts small fleets for tests. Stateless and safe for use by several threads. */
final class SmallFleet {

  private static final int MAX_PORTS = 40;
  private static final Path EXAMPLE = Path.of("..", "examples", "qadri.json");
  private static final Duration PATIENCE = Duration.ofSeconds(20);
  private static final ObjectMapper JSON = new ObjectMapper();

  private SmallFleet() {}

  /** Starts a fleet with the settings of qadri and the given regions. */
  static Fleet start(EnginePlan engine, RegionPlan... regions) throws IOException {
    FleetPlan plan =
        FleetPlan.named("qadri")
            .withBasePort(FreePorts.findConsecutive(MAX_PORTS))
            .withEngine(engine)
            .withRegions(regions);
    return Fleet.start(plan);
  }

  /**
   * Publishes the settings of qadri with a change to one branch, and waits until all instances have
   * them.
   *
   * @param change changes the branch's values
   */
  static void publish(Fleet fleet, String branch, Consumer<ObjectNode> change) throws IOException {
    publishUnseen(fleet, branch, change);
    long published = fleet.publishedRevision();
    for (EntryNode entry : fleet.layout().entries()) {
      await()
          .atMost(PATIENCE)
          .until(
              () -> fleet.operator(entry.id().value(), "/status").path("settingsRevision").asLong(),
              revision -> revision >= published);
    }
  }

  /** Publishes the settings of qadri with a change to one branch, without waiting. */
  static void publishUnseen(Fleet fleet, String branch, Consumer<ObjectNode> change)
      throws IOException {
    JsonNode root = JSON.readTree(Files.readAllBytes(EXAMPLE));
    for (JsonNode node : root.path("branches")) {
      if (node.path("id").asText().equals(branch)) {
        change.accept((ObjectNode) node.path("values"));
      }
    }
    fleet.publishSettings(List.of(root));
  }
}
