package org.gentianslip.entry.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.membership.IncarnationState;
import org.gentianslip.core.membership.InstanceState;
import org.gentianslip.core.membership.Member;
import org.gentianslip.core.membership.MembershipTable;
import org.gentianslip.core.routing.EngineView;
import org.gentianslip.entry.configservice.InstanceRecord;
import org.gentianslip.entry.configservice.SettingsUpdater;
import org.gentianslip.entry.http.Json;
import org.gentianslip.entry.process.InFlightCounter;
import org.gentianslip.entry.state.EngineState;
import org.gentianslip.entry.state.FleetState;
import org.gentianslip.settings.Finding;

/** Provides the status of an instance as JSON. Safe for use by several threads. */
public final class StatusPage {

  private final FleetState state;
  private final SettingsUpdater settingsUpdater;
  private final InFlightCounter inFlight;
  private final IntSupplier queuedCount;
  private final Supplier<Map<String, String>> orderReasons;

  /**
   * Creates the page.
   *
   * @param queuedCount returns the number of waiting requests
   * @param orderReasons returns for each engine why no order was sent last time, or {@code sent}
   */
  public StatusPage(
      FleetState state,
      SettingsUpdater settingsUpdater,
      InFlightCounter inFlight,
      IntSupplier queuedCount,
      Supplier<Map<String, String>> orderReasons) {
    this.orderReasons = orderReasons;
    this.state = state;
    this.settingsUpdater = settingsUpdater;
    this.inFlight = inFlight;
    this.queuedCount = queuedCount;
  }

  /** Returns the status as JSON. */
  ObjectNode toJson(long nowNanos) {
    ObjectNode body = Json.object();
    var settings = state.settings();
    body.put("instance", state.config().instance().value());
    body.put("incarnation", state.incarnation().toString());
    body.put("region", state.config().region().value());
    body.put("dataCentre", state.config().dataCentre().value());
    body.put("ready", state.ready());
    body.put("leaving", state.leaving());
    body.put("settingsRevision", settings == null ? 0 : settings.revision().value());
    body.put("listVersion", state.instanceList().version());
    body.put("inFlight", inFlight.count());
    body.put("queued", queuedCount.getAsInt());
    addRejection(body);
    addInstances(nowNanos, body.putArray("instances"));
    addEngines(nowNanos, body.putArray("engines"));
    body.set("orders", Json.tree(orderReasons.get()));
    return body;
  }

  private void addRejection(ObjectNode body) {
    var rejection = settingsUpdater.lastRejection();
    if (rejection == null) {
      return;
    }
    var node = body.putObject("rejectedRevision").put("revision", rejection.revision());
    var findings = node.putArray("findings");
    rejection.findings().stream().map(Finding::toString).forEach(findings::add);
  }

  private void addInstances(long nowNanos, ArrayNode instances) {
    MembershipTable table = state.membership().table();
    for (InstanceRecord record : state.instanceList().entries()) {
      var id = InstanceId.of(record.id());
      var node = instances.addObject();
      node.put("id", record.id()).put("region", record.region()).put("listed", record.state());
      if (id.equals(state.config().instance())) {
        node.put("state", state.leaving() ? "leaving" : "live");
        continue;
      }
      InstanceState instanceState = table.stateOf(nowNanos, id);
      node.put("state", instanceState.name().toLowerCase(Locale.ROOT));
      node.put(
          "heard",
          isHeard(instanceState) && table.member(id).flatMap(Member::incarnationState).isPresent());
      settingsUpdater
          .revisionAnnouncedBy(id)
          .ifPresent(r -> node.put("settingsRevision", r.value()));
      table
          .member(id)
          .flatMap(Member::incarnationState)
          .ifPresent(incarnation -> addIncarnation(node, incarnation));
    }
  }

  private static boolean isHeard(InstanceState instanceState) {
    return instanceState == InstanceState.LIVE || instanceState == InstanceState.LEAVING;
  }

  private static void addIncarnation(ObjectNode node, IncarnationState incarnation) {
    node.put("incarnation", incarnation.incarnation().toString());
    node.put("leaving", incarnation.leaving());
    node.put("busyShare", incarnation.busyShare());
  }

  private void addEngines(long nowNanos, ArrayNode engines) {
    for (EngineState engineState : state.engines().engines()) {
      EngineView engine = state.engines().view(nowNanos, engineState);
      var node = engines.addObject();
      node.put("id", engine.id().value());
      node.put("slots", engine.slots());
      node.put("inFlight", engine.inFlight());
      node.put("running", engine.reportedRunning());
      node.put("waiting", engine.reportedWaiting());
      node.put("usable", engine.usable());
      node.put("leaving", state.engines().isLeaving(nowNanos, engineState));
    }
  }
}
