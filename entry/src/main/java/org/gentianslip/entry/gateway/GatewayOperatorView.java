package org.gentianslip.entry.gateway;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.gentianslip.core.fleet.PeerRecord;
import org.gentianslip.core.fleet.WireVersion;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.RequestId;
import org.gentianslip.core.limit.ColdRate;
import org.gentianslip.core.limit.StatedLimit;
import org.gentianslip.core.load.BackendEstimate;
import org.gentianslip.core.load.BackendLoad;
import org.gentianslip.core.load.RequestSize;
import org.gentianslip.core.published.Backend;
import org.gentianslip.core.published.PublishedState;
import org.gentianslip.core.quarantine.Verdict;
import org.gentianslip.core.route.RouteTable;
import org.gentianslip.entry.explain.DecisionLog;
import org.gentianslip.entry.http.Json;
import org.gentianslip.entry.operator.OperatorView;

/**
 * The operator view of an instance that serves routed requests. Safe for use by several threads.
 */
final class GatewayOperatorView implements OperatorView {

  private final GatewayState state;
  private final GatewayMetrics metrics;
  private final DecisionLog decisions;
  private final Gateway gateway;

  GatewayOperatorView(
      GatewayState state, GatewayMetrics metrics, DecisionLog decisions, Gateway gateway) {
    this.state = state;
    this.metrics = metrics;
    this.decisions = decisions;
    this.gateway = gateway;
  }

  @Override
  public String instance() {
    return state.config().id().value();
  }

  @Override
  public boolean ready() {
    return state.ready();
  }

  @Override
  public byte[] metrics() {
    return metrics.text();
  }

  @Override
  public ObjectNode status(long nowNanos) {
    GatewayConfig config = state.config();
    ObjectNode body = Json.object();
    body.put("instance", instance());
    body.put("region", config.region().value());
    body.put("dataCentre", config.dataCentre().value());
    body.put("ready", state.ready());
    body.put("leaving", state.leaving());
    body.put("settingsRevision", gateway.version());
    body.put("listVersion", state.published().revision().number());
    body.put(
        "confirmedMillisAgo", TimeUnit.NANOSECONDS.toMillis(state.confirmationAgeNanos(nowNanos)));
    body.put("wire", WireVersion.CURRENT.number());
    body.put("inFlight", gateway.inFlight());
    body.put("queued", 0);
    addInstances(nowNanos, body.putArray("instances"));
    addEngines(nowNanos, body.putArray("engines"));
    addQuarantine(body.putArray("quarantine"));
    addQuotas(nowNanos, body.putArray("quotas"));
    addConflicts(body.putArray("regionConflicts"));
    return body;
  }

  private void addInstances(long nowNanos, ArrayNode instances) {
    List<PeerRecord> live = state.fleet().live(nowNanos);
    for (PeerRecord peer : state.fleet().known(nowNanos)) {
      String listed = peer.leaving() ? "leaving" : "live";
      ObjectNode node = instances.addObject();
      node.put("id", peer.id().value());
      node.put("region", peer.region().value());
      node.put("listed", listed);
      node.put("heard", live.contains(peer));
      node.put("wire", peer.wire().number());
      node.put("incarnation", Long.toString(peer.incarnation()));
    }
  }

  private void addConflicts(ArrayNode conflicts) {
    state
        .published()
        .routes()
        .map(RouteTable::regionConflicts)
        .orElse(List.of())
        .forEach(
            c ->
                conflicts
                    .addObject()
                    .put("route", c.route())
                    .put("routeRegions", join(c.routeRegions()))
                    .put("customer", c.customer().value())
                    .put("customerRegions", join(c.customerRegions())));
  }

  private static String join(Set<RegionId> regions) {
    return regions.stream().map(RegionId::value).sorted().collect(Collectors.joining(","));
  }

  private void addQuotas(long nowNanos, ArrayNode quotas) {
    state
        .quotas()
        .states(nowNanos)
        .forEach(
            (customer, s) ->
                quotas
                    .addObject()
                    .put("customer", customer.value())
                    .put("allowance", Math.round(s.allowance()))
                    .put("usable", Math.round(s.usable()))
                    .put("own", Math.round(s.own()))
                    .put("others", Math.round(s.others()))
                    .put("weight", s.weight())
                    .put("reportMillisAgo", s.ageMillis())
                    .put("refused", state.quotas().countsOf(customer).refused().sum()));
  }

  private void addQuarantine(ArrayNode parts) {
    for (Verdict verdict : state.quarantine().verdicts()) {
      parts.addObject().put("part", verdict.part()).put("crashes", verdict.crashes());
    }
  }

  private void addEngines(long nowNanos, ArrayNode engines) {
    PublishedState published = state.published();
    for (Backend backend : published.backends().values()) {
      Optional<BackendLoad> load = state.load(backend.id());
      if (load.isEmpty()) {
        continue;
      }
      BackendEstimate estimate =
          load.get().estimate(nowNanos, false, RequestSize.UNKNOWN, Optional.empty());
      boolean open = published.acceptsWork(backend);
      ObjectNode node = engines.addObject();
      node.put("id", backend.id().value());
      node.put("service", backend.service().value());
      node.put("slots", backend.slots());
      node.put("inFlight", load.get().localLoad(nowNanos).running());
      node.put("running", estimate.running());
      node.put("waiting", Math.max(0, estimate.running() - backend.slots()));
      node.put("usable", open && load.get().acceptsWork(nowNanos, () -> ColdRate.UNLIMITED));
      node.put("leaving", !open);
      load.get()
          .limit()
          .filter(StatedLimit::isLimited)
          .ifPresent(l -> node.put("limitPerSecond", l.perSecond()));
      load.get()
          .refusalLimit()
          .filter(StatedLimit::isLimited)
          .ifPresent(l -> node.put("refusalsPerSecond", l.perSecond()));
    }
  }

  @Override
  public Optional<ObjectNode> settings(String customer, String kind, String region) {
    return state.published().routes().map(r -> RouteReport.of(r, kind, state.config().bounds()));
  }

  @Override
  public List<DecisionLog.Step> steps(RequestId request) {
    return decisions.steps(request);
  }
}
