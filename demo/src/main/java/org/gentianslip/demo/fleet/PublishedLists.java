package org.gentianslip.demo.fleet;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Set;
import org.gentianslip.core.id.RegionId;

/**
 * Builds the lists that the platform publishes.
 *
 * <p>The list for a region gives the instances of other regions with the ports of the relay as
 * their peer addresses. Stateless and thread-safe.
 */
final class PublishedLists {

  private static final ObjectMapper JSON = new ObjectMapper();

  private PublishedLists() {}

  /** Returns the directory for callers. */
  static ObjectNode directory(FleetLayout layout, long version, Set<String> leaving) {
    ObjectNode root = JSON.createObjectNode().put("version", version);
    ArrayNode entries = root.putArray("entries");
    for (EntryNode entry : layout.entries()) {
      if (leaving.contains(entry.id().value())) {
        continue;
      }
      entries
          .addObject()
          .put("id", entry.id().value())
          .put("region", entry.region().value())
          .put("callerAddress", entry.callerAddress());
    }
    return root;
  }

  /** Returns the list of instances and backend servers for a region. */
  static ObjectNode instances(
      FleetLayout layout, RegionId from, long version, Set<String> leaving) {
    ObjectNode root = JSON.createObjectNode().put("version", version);
    ArrayNode entries = root.putArray("entries");
    for (EntryNode entry : layout.entries()) {
      entries
          .addObject()
          .put("id", entry.id().value())
          .put("region", entry.region().value())
          .put("dataCentre", dataCentre(entry.region()))
          .put("callerAddress", entry.callerAddress())
          .put("peerAddress", FleetLayout.LOOPBACK + ":" + layout.peerPortFrom(from, entry))
          .put("operatorAddress", entry.operatorAddress())
          .put("state", state(entry.id().value(), leaving));
    }
    ArrayNode backends = root.putArray("backends");
    for (BackendNode backend : layout.backends()) {
      addBackend(backends.addObject(), backend, layout.plan(), leaving);
    }
    return root;
  }

  /** Returns the name of a region's data centre. */
  static String dataCentre(RegionId region) {
    return region.value() + "-1";
  }

  private static void addBackend(
      ObjectNode node, BackendNode backend, FleetPlan plan, Set<String> leaving) {
    node.put("id", backend.id())
        .put("region", backend.region().value())
        .put("dataCentre", dataCentre(backend.region()))
        .put("address", backend.address())
        .put("state", state(backend.id(), leaving));
    if (!backend.modelEngine()) {
      node.put("type", "service").put("service", plan.service());
      return;
    }
    node.put("type", "model").put("slots", plan.engine().slots()).put("checksFencing", true);
    plan.models().forEach(node.putArray("models")::add);
  }

  private static String state(String id, Set<String> leaving) {
    return leaving.contains(id) ? "leaving" : "live";
  }
}
