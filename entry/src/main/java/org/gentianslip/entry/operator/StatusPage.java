package org.gentianslip.entry.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.gentianslip.core.routing.EngineView;
import org.gentianslip.entry.http.Json;
import org.gentianslip.entry.platform.EntryRecord;
import org.gentianslip.entry.platform.SettingsIntake;
import org.gentianslip.entry.process.InFlight;
import org.gentianslip.entry.state.FleetState;
import org.gentianslip.entry.state.PeerState;
import org.gentianslip.settings.Finding;

/** Shows what an instance knows. Safe for use by several threads. */
public final class StatusPage {

  private final FleetState state;
  private final SettingsIntake intake;
  private final InFlight inFlight;
  private final IntSupplier queued;

  /** Creates the page. */
  public StatusPage(
      FleetState state, SettingsIntake intake, InFlight inFlight, IntSupplier queued) {
    this.state = state;
    this.intake = intake;
    this.inFlight = inFlight;
    this.queued = queued;
  }

  /** Returns the status as JSON. */
  byte[] json(long nowNanos) {
    ObjectNode body = Json.object();
    var settings = state.settings();
    body.put("instance", state.place().instance().value());
    body.put("incarnation", state.incarnation().toString());
    body.put("region", state.place().region().value());
    body.put("dataCentre", state.place().dataCentre().value());
    body.put("ready", state.ready());
    body.put("leaving", state.leaving());
    body.put("settingsRevision", settings == null ? 0 : settings.revision().value());
    body.put("listVersion", state.list().version());
    body.put("inFlight", inFlight.count());
    body.put("queued", queued.getAsInt());
    addRejection(body);
    addInstances(nowNanos, body.putArray("instances"));
    addEngines(nowNanos, body.putArray("engines"));
    return Json.bytes(body);
  }

  private void addRejection(ObjectNode body) {
    var rejection = intake.lastRejection();
    if (rejection == null) {
      return;
    }
    var node = body.putObject("rejectedRevision").put("revision", rejection.revision());
    var findings = node.putArray("findings");
    rejection.findings().stream().map(Finding::toString).forEach(findings::add);
  }

  private void addInstances(long nowNanos, ArrayNode instances) {
    for (EntryRecord entry : state.list().entries()) {
      var node = instances.addObject();
      node.put("id", entry.id()).put("region", entry.region()).put("listed", entry.state());
      var peer = state.peers().fresh(nowNanos, entry.id());
      node.put("heard", peer.isPresent());
      peer.ifPresent(p -> addPeer(nowNanos, node, p));
    }
  }

  private static void addPeer(long nowNanos, ObjectNode node, PeerState peer) {
    node.put("incarnation", peer.incarnation());
    node.put("leaving", peer.leaving());
    node.put("settingsRevision", peer.settingsRevision());
    node.put("freeSlots", peer.freeSlots());
    node.put("ageMillis", TimeUnit.NANOSECONDS.toMillis(nowNanos - peer.heardNanos()));
  }

  private void addEngines(long nowNanos, ArrayNode engines) {
    for (EngineView engine : state.engines().views(nowNanos)) {
      var node = engines.addObject();
      node.put("id", engine.id().value());
      node.put("slots", engine.slots());
      node.put("inFlight", engine.inFlight());
      node.put("running", engine.reportedRunning());
      node.put("waiting", engine.reportedWaiting());
      node.put("usable", engine.usable());
      node.put("leaving", state.engines().leaving().contains(engine.id()));
    }
  }
}
