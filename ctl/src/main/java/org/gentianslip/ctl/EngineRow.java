package org.gentianslip.ctl;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Sums up what several instances tell of one engine.
 *
 * <p>Not safe for use by several threads.
 */
final class EngineRow {

  String region = "";
  int slots;
  int sent;
  int running;
  int waiting;
  int usable;
  int told;
  boolean leaving;

  /** Adds the account of an instance. */
  void add(String instanceRegion, JsonNode engine) {
    region = instanceRegion;
    slots = Math.max(slots, engine.path("slots").asInt());
    sent += engine.path("inFlight").asInt();
    running = Math.max(running, engine.path("running").asInt());
    waiting = Math.max(waiting, engine.path("waiting").asInt());
    usable += engine.path("usable").asBoolean() ? 1 : 0;
    told++;
    leaving |= engine.path("leaving").asBoolean();
  }
}
