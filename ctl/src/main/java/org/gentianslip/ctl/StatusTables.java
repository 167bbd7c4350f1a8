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
 * Lays out what instances tell of themselves, of each other and of engines.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class StatusTables {

  private StatusTables() {}

  /** Returns the lines. */
  static List<String> of(List<JsonNode> answers) {
    var lines = new ArrayList<String>();
    addTable("Instances", instances(answers), lines);
    addTable("Other listed instances", others(answers), lines);
    addTable("Engines", engines(answers), lines);
    addRejections(answers, lines);
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

  private static TextTable instances(List<JsonNode> answers) {
    long newest = newestRevision(answers);
    TextTable table =
        TextTable.of(
            "INSTANCE", "REGION", "STATE", "REVISION", "BEHIND", "LIST", "IN FLIGHT", "QUEUED");
    for (JsonNode answer : answers) {
      long revision = answer.path("settingsRevision").asLong();
      table.add(
          answer.path("instance").asText(),
          answer.path("region").asText(),
          state(answer),
          revision,
          newest - revision,
          answer.path("listVersion").asText(),
          answer.path("inFlight").asText(),
          answer.path("queued").asText());
    }
    return table;
  }

  private static String state(JsonNode answer) {
    if (answer.path("leaving").asBoolean()) {
      return "leaving";
    }
    return answer.path("ready").asBoolean() ? "ready" : "not ready";
  }

  /** Returns the highest revision that an instance has or has heard of. */
  private static long newestRevision(List<JsonNode> answers) {
    long newest = 0;
    for (JsonNode answer : answers) {
      newest = Math.max(newest, answer.path("settingsRevision").asLong());
      newest = Math.max(newest, answer.path("rejectedRevision").path("revision").asLong());
      for (JsonNode peer : answer.path("instances")) {
        newest = Math.max(newest, peer.path("settingsRevision").asLong());
      }
    }
    return newest;
  }

  private static TextTable others(List<JsonNode> answers) {
    var asked = new TreeSet<String>();
    answers.forEach(a -> asked.add(a.path("instance").asText()));
    var others = new TreeMap<String, JsonNode>();
    var hearers = new TreeMap<String, Set<String>>();
    for (JsonNode answer : answers) {
      for (JsonNode peer : answer.path("instances")) {
        String id = peer.path("id").asText();
        if (asked.contains(id)) {
          continue;
        }
        boolean heard = peer.path("heard").asBoolean();
        others.merge(id, peer, (known, next) -> heard ? next : known);
        Set<String> by = hearers.computeIfAbsent(id, i -> new TreeSet<>());
        if (heard) {
          by.add(answer.path("instance").asText());
        }
      }
    }
    TextTable table = TextTable.of("INSTANCE", "REGION", "LISTED", "REVISION", "HEARD BY");
    others.forEach(
        (id, peer) ->
            table.add(
                id,
                peer.path("region").asText(),
                peer.path("listed").asText(),
                peer.path("settingsRevision").asText("-"),
                hearers.get(id).isEmpty() ? "nobody" : String.join(", ", hearers.get(id))));
    return table;
  }

  private static TextTable engines(List<JsonNode> answers) {
    var engines = new TreeMap<String, EngineRow>();
    for (JsonNode answer : answers) {
      for (JsonNode engine : answer.path("engines")) {
        engines
            .computeIfAbsent(engine.path("id").asText(), id -> new EngineRow())
            .add(answer.path("region").asText(), engine);
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
          row.usable + " of " + row.told,
          row.leaving ? "leaving" : "live");
    }
    return table;
  }

  /** Tells which later revisions were rejected; instances with equal findings share the lines. */
  private static void addRejections(List<JsonNode> answers, List<String> lines) {
    var rejections = new LinkedHashMap<JsonNode, List<String>>();
    for (JsonNode answer : answers) {
      JsonNode rejected = answer.path("rejectedRevision");
      if (rejected.path("revision").asLong() > answer.path("settingsRevision").asLong()) {
        rejections
            .computeIfAbsent(rejected, r -> new ArrayList<>())
            .add(answer.path("instance").asText());
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
