package org.gentianslip.burn.report;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import org.gentianslip.burn.window.ObjectiveBurn;
import org.gentianslip.burn.window.WindowBurn;

/** Formats a report as a JSON object. Stateless and thread-safe. */
public final class BurnJsonReport {

  private static final ObjectMapper JSON = new ObjectMapper();

  private BurnJsonReport() {}

  /** Returns the report as the text of a JSON object. */
  public static String text(BurnReport report) {
    ObjectNode root = JSON.createObjectNode();
    root.put("summary", report.summary());
    root.put("settingsRevision", report.revision());
    ArrayNode objectives = root.putArray("objectives");
    report.burns().forEach(burn -> add(objectives.addObject(), burn));
    report.unreachable().forEach(root.putArray("unreachable")::add);
    return root.toPrettyString();
  }

  private static void add(ObjectNode node, ObjectiveBurn burn) {
    node.put("name", burn.objective().name())
        .put("type", burn.objective().type().name())
        .put("share", burn.objective().share())
        .put("targetMillis", burn.objective().target().toMillis())
        .put("state", burn.state())
        .put("score", burn.score())
        .put("budgetLeftShare", burn.budgetLeft());
    burn.objective().rank().ifPresent(rank -> node.put("rank", rank.name()));
    burn.objective().region().ifPresent(region -> node.put("region", region.value()));
    burn.objective().customer().ifPresent(customer -> node.put("customer", customer.value()));
    ArrayNode windows = node.putArray("windows");
    for (WindowBurn window : burn.windows()) {
      windows
          .addObject()
          .put("seconds", window.window().toSeconds())
          .put("observedSeconds", window.observed().toSeconds())
          .put("requests", window.total())
          .put("bad", window.bad())
          .put("rate", window.rate());
    }
    put(node, "causes", burn.causes());
    put(node, "regions", burn.regions());
    put(node, "codes", burn.codes());
  }

  private static void put(ObjectNode node, String name, Map<String, Double> counts) {
    ObjectNode object = node.putObject(name);
    counts.forEach(object::put);
  }
}
