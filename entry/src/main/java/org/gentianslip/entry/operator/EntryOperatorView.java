package org.gentianslip.entry.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.KindId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.RequestId;
import org.gentianslip.entry.explain.DecisionLog;
import org.gentianslip.entry.http.Json;
import org.gentianslip.entry.metrics.EntryMetrics;
import org.gentianslip.entry.state.FleetState;
import org.gentianslip.settings.EffectiveSettingsJson;

/**
 * The operators' view of an instance that runs as {@code gentian-entry}. Safe for use by several
 * threads.
 */
public final class EntryOperatorView implements OperatorView {

  private final FleetState state;
  private final EntryMetrics metrics;
  private final DecisionLog decisions;
  private final StatusPage status;

  /** Creates a view. */
  public EntryOperatorView(
      FleetState state, EntryMetrics metrics, DecisionLog decisions, StatusPage status) {
    this.state = state;
    this.metrics = metrics;
    this.decisions = decisions;
    this.status = status;
  }

  @Override
  public String instance() {
    return state.config().instance().value();
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
    return status.toJson(nowNanos);
  }

  @Override
  public Optional<ObjectNode> settings(String customer, String kind, String region) {
    var settings = state.settings();
    if (settings == null) {
      return Optional.empty();
    }
    RegionId regionId = region.isEmpty() ? state.config().region() : RegionId.of(region);
    var effective = settings.effective(CustomerId.of(customer), regionId, KindId.of(kind));
    var body = Json.object().put("revision", settings.revision().value());
    body.set("values", EffectiveSettingsJson.toJson(effective));
    return Optional.of(body);
  }

  @Override
  public List<DecisionLog.Step> steps(RequestId request) {
    return decisions.steps(request);
  }
}
