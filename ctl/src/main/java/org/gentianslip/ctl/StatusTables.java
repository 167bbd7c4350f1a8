package org.gentianslip.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Formats the status reports of instances as tables of instances, other listed instances, versions
 * and engines.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class StatusTables {

  private StatusTables() {}

  /** Returns the lines of all tables. */
  static List<String> of(List<JsonNode> statuses) {
    var lines = new ArrayList<String>();
    addTable("Instances", instances(statuses), lines);
    addTable("Other listed instances", otherInstances(statuses), lines);
    addTable("Versions of the messages between instances", wireVersions(statuses), lines);
    addTable("Engines", engines(statuses), lines);
    addTable("Quotas (tokens of a window)", QuotaTable.of(statuses), lines);
    addTable("Customers that no region may serve on a route", conflicts(statuses), lines);
    addRejections(statuses, lines);
    return lines;
  }

  private static void addTable(String title, TextTable table, List<String> lines) {
    if (!table.hasRows()) {
      return;
    }
    if (!lines.isEmpty()) {
      lines.add("");
    }
    lines.add(title);
    lines.addAll(table.lines());
  }

  private static TextTable instances(List<JsonNode> statuses) {
    long newest = newestRevision(statuses);
    TextTable table =
        TextTable.of(
            "INSTANCE", "REGION", "STATE", "REVISION", "BEHIND", "LIST", "IN FLIGHT", "QUEUED");
    for (JsonNode status : statuses) {
      long revision = status.path("settingsRevision").asLong();
      table.add(
          status.path("instance").asText(),
          status.path("region").asText(),
          state(status),
          revision,
          newest - revision,
          status.path("listVersion").asText(),
          status.path("inFlight").asText(),
          status.path("queued").asText());
    }
    return table;
  }

  private static String state(JsonNode status) {
    if (status.path("leaving").asBoolean()) {
      return "leaving";
    }
    return status.path("ready").asBoolean() ? "ready" : "not ready";
  }

  /** Returns the highest revision that an instance has, rejected or received a report of. */
  private static long newestRevision(List<JsonNode> statuses) {
    long newest = 0;
    for (JsonNode status : statuses) {
      newest = Math.max(newest, status.path("settingsRevision").asLong());
      newest = Math.max(newest, status.path("rejectedRevision").path("revision").asLong());
      for (JsonNode peer : status.path("instances")) {
        newest = Math.max(newest, peer.path("settingsRevision").asLong());
      }
    }
    return newest;
  }

  private static TextTable otherInstances(List<JsonNode> statuses) {
    var respondents = new TreeSet<String>();
    statuses.forEach(s -> respondents.add(s.path("instance").asText()));
    var peersById = new TreeMap<String, JsonNode>();
    var reportersById = new TreeMap<String, Set<String>>();
    for (JsonNode status : statuses) {
      for (JsonNode peer : status.path("instances")) {
        String id = peer.path("id").asText();
        if (respondents.contains(id)) {
          continue;
        }
        boolean reported = peer.path("heard").asBoolean();
        peersById.merge(id, peer, (first, next) -> reported ? next : first);
        Set<String> reporters = reportersById.computeIfAbsent(id, i -> new TreeSet<>());
        if (reported) {
          reporters.add(status.path("instance").asText());
        }
      }
    }
    TextTable table = TextTable.of("INSTANCE", "REGION", "LISTED", "REVISION", "HEARD BY");
    peersById.forEach(
        (id, peer) ->
            table.add(
                id,
                peer.path("region").asText(),
                peer.path("listed").asText(),
                peer.path("settingsRevision").asText("-"),
                reportersById.get(id).isEmpty()
                    ? "nobody"
                    : String.join(", ", reportersById.get(id))));
    return table;
  }

  /** Returns the version that each instance states, of itself if it has reported. */
  private static TextTable wireVersions(List<JsonNode> statuses) {
    var versions = new TreeMap<String, String>();
    for (JsonNode status : statuses) {
      for (JsonNode peer : status.path("instances")) {
        if (peer.has("wire")) {
          versions.put(peer.path("id").asText(), peer.path("wire").asText());
        }
      }
    }
    for (JsonNode status : statuses) {
      if (status.has("wire")) {
        versions.put(status.path("instance").asText(), status.path("wire").asText());
      }
    }
    TextTable table = TextTable.of("INSTANCE", "WIRE");
    versions.forEach((instance, version) -> table.add(instance, version));
    return table;
  }

  private static TextTable conflicts(List<JsonNode> statuses) {
    var rows = new TreeMap<String, JsonNode>();
    for (JsonNode status : statuses) {
      for (JsonNode conflict : status.path("regionConflicts")) {
        rows.put(
            conflict.path("route").asText() + " " + conflict.path("customer").asText(), conflict);
      }
    }
    TextTable table =
        TextTable.of("ROUTE", "REGIONS OF THE ROUTE", "CUSTOMER", "REGIONS OF THE CUSTOMER");
    for (JsonNode row : rows.values()) {
      table.add(
          row.path("route").asText(),
          row.path("routeRegions").asText(),
          row.path("customer").asText(),
          row.path("customerRegions").asText());
    }
    return table;
  }

  private static TextTable engines(List<JsonNode> statuses) {
    var engines = new TreeMap<String, EngineRow>();
    for (JsonNode status : statuses) {
      for (JsonNode engine : status.path("engines")) {
        engines
            .computeIfAbsent(engine.path("id").asText(), id -> new EngineRow())
            .add(status.path("region").asText(), engine);
      }
    }
    TextTable table =
        TextTable.of(
            "ENGINE", "REGION", "SLOTS", "SENT", "RUNNING", "WAITING", "USABLE FOR", "STATE");
    for (Map.Entry<String, EngineRow> entry : engines.entrySet()) {
      EngineRow row = entry.getValue();
      table.add(
          entry.getKey(),
          row.region,
          row.slots,
          row.sent,
          row.running,
          row.waiting,
          row.usableReports + " of " + row.reports,
          row.leaving ? "leaving" : "live");
    }
    return table;
  }

  /** Adds the findings of rejected newer revisions; instances with equal findings are grouped. */
  private static void addRejections(List<JsonNode> statuses, List<String> lines) {
    var rejections = new LinkedHashMap<JsonNode, List<String>>();
    for (JsonNode status : statuses) {
      JsonNode rejected = status.path("rejectedRevision");
      if (rejected.path("revision").asLong() > status.path("settingsRevision").asLong()) {
        rejections
            .computeIfAbsent(rejected, r -> new ArrayList<>())
            .add(status.path("instance").asText());
      }
    }
    rejections.forEach((rejected, instances) -> addRejection(rejected, instances, lines));
  }

  private static void addRejection(JsonNode rejected, List<String> instances, List<String> lines) {
    lines.add("");
    lines.add(
        "Revision "
            + rejected.path("revision").asText()
            + " was rejected by "
            + String.join(", ", instances)
            + ":");
    rejected.path("findings").forEach(f -> lines.add("  " + f.asText()));
  }
}
