package org.gentianslip.ctl;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Aggregates the reports of several instances about one engine.
 *
 * <p>Not safe for use by several threads.
 */
final class EngineRow {

  String region = "";
  int slots;
  int sent;
  int running;
  int waiting;
  int usableReports;
  int reports;
  boolean leaving;

  /** Adds the report of an instance. */
  void add(String instanceRegion, JsonNode engine) {
    region = instanceRegion;
    slots = Math.max(slots, engine.path("slots").asInt());
    sent += engine.path("inFlight").asInt();
    running = Math.max(running, engine.path("running").asInt());
    waiting = Math.max(waiting, engine.path("waiting").asInt());
    usableReports += engine.path("usable").asBoolean() ? 1 : 0;
    reports++;
    leaving |= engine.path("leaving").asBoolean();
  }
}
