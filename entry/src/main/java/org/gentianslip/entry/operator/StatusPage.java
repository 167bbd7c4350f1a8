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
import org.gentianslip.entry.process.InFlight;
import org.gentianslip.entry.state.EngineState;
import org.gentianslip.entry.state.FleetState;
import org.gentianslip.settings.Finding;

/** Shows what an instance knows. Safe for use by several threads. */
public final class StatusPage {

  private final FleetState state;
  private final SettingsUpdater intake;
  private final InFlight inFlight;
  private final IntSupplier queued;
  private final Supplier<Map<String, String>> orders;

  /**
   * Creates the page.
   *
   * @param queued gives the number of waiting requests
   * @param orders gives for each engine why it was last sent no order
   */
  public StatusPage(
      FleetState state,
      SettingsUpdater intake,
      InFlight inFlight,
      IntSupplier queued,
      Supplier<Map<String, String>> orders) {
    this.orders = orders;
    this.state = state;
    this.intake = intake;
    this.inFlight = inFlight;
    this.queued = queued;
  }

  /** Returns the status as JSON. */
  ObjectNode json(long nowNanos) {
    ObjectNode body = Json.object();
    var settings = state.settings();
    body.put("instance", state.place().instance().value());
    body.put("incarnation", state.incarnation().toString());
    body.put("region", state.place().region().value());
    body.put("dataCentre", state.place().dataCentre().value());
    body.put("ready", state.ready());
    body.put("leaving", state.leaving());
    body.put("settingsRevision", settings == null ? 0 : settings.revision().value());
    body.put("listVersion", state.instanceList().version());
    body.put("inFlight", inFlight.count());
    body.put("queued", queued.getAsInt());
    addRejection(body);
    addInstances(nowNanos, body.putArray("instances"));
    addEngines(nowNanos, body.putArray("engines"));
    body.set("orders", Json.tree(orders.get()));
    return body;
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
    MembershipTable table = state.membership().table();
    for (InstanceRecord entry : state.instanceList().entries()) {
      var id = InstanceId.of(entry.id());
      var node = instances.addObject();
      node.put("id", entry.id()).put("region", entry.region()).put("listed", entry.state());
      if (id.equals(state.place().instance())) {
        node.put("state", state.leaving() ? "leaving" : "live");
        continue;
      }
      InstanceState believed = table.stateOf(nowNanos, id);
      node.put("state", believed.name().toLowerCase(Locale.ROOT));
      node.put("heard", isHeard(believed) && table.member(id).flatMap(Member::life).isPresent());
      intake.revisionAnnouncedBy(id).ifPresent(r -> node.put("settingsRevision", r.value()));
      table.member(id).flatMap(Member::life).ifPresent(life -> addLife(node, life));
    }
  }

  private static boolean isHeard(InstanceState believed) {
    return believed == InstanceState.LIVE || believed == InstanceState.LEAVING;
  }

  private static void addLife(ObjectNode node, IncarnationState life) {
    node.put("incarnation", life.incarnation().toString());
    node.put("leaving", life.leaving());
    node.put("busyShare", life.busyShare());
  }

  private void addEngines(long nowNanos, ArrayNode engines) {
    for (EngineState known : state.engines().engines()) {
      EngineView engine = state.engines().view(nowNanos, known);
      var node = engines.addObject();
      node.put("id", engine.id().value());
      node.put("slots", engine.slots());
      node.put("inFlight", engine.inFlight());
      node.put("running", engine.reportedRunning());
      node.put("waiting", engine.reportedWaiting());
      node.put("usable", engine.usable());
      node.put("leaving", state.engines().leaving(nowNanos, known));
    }
  }
}
