package org.gentianslip.entry.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.RequestId;
import org.gentianslip.core.routing.ExpectedCostPolicy;
import org.gentianslip.core.routing.LeastLoadedPolicy;
import org.gentianslip.core.routing.PolicyTuning;
import org.gentianslip.core.routing.RegionSummary;
import org.gentianslip.core.routing.RoundRobinPolicy;
import org.gentianslip.core.routing.RoutingDecision;
import org.gentianslip.core.routing.RoutingPolicy;
import org.gentianslip.core.routing.RoutingRequest;
import org.gentianslip.core.routing.RoutingView;
import org.gentianslip.entry.state.FleetState;
import org.gentianslip.settings.EffectiveSettings;
import org.gentianslip.settings.SettingCatalog;

/**
 * Routes each request by the policy and the tuning that the settings define for it.
 *
 * <p>The policy sees no region that a request must not be sent to: if spill is disabled, no other
 * region; otherwise, none that the request was sent to before. Safe for use by several threads.
 */
final class ConfiguredRoutingPolicy implements RoutingPolicy {

  private final FleetState state;
  private final Map<RequestId, ModelExchange> exchanges;
  private final RoutingPolicy expectedCost;
  private final RoutingPolicy leastLoaded = new LeastLoadedPolicy();
  private final RoutingPolicy roundRobin = new RoundRobinPolicy();

  /**
   * Creates the policy.
   *
   * @param exchanges the waiting requests by their ids
   * @param seed the seed of the hashes; it is the same on all instances, so that requests with the
   *     same prefix go to the same engine
   */
  ConfiguredRoutingPolicy(FleetState state, Map<RequestId, ModelExchange> exchanges, long seed) {
    this.state = state;
    this.exchanges = exchanges;
    this.expectedCost = ExpectedCostPolicy.of(seed, this::tuning);
  }

  @Override
  public RoutingDecision decide(long nowNanos, RoutingRequest request, RoutingView view) {
    ModelExchange exchange = exchanges.get(request.id());
    Set<RegionId> excluded = excludedRegions(request, exchange);
    RoutingView visible = excluded.isEmpty() ? view : withoutRegions(excluded, view);
    return policy(request).decide(nowNanos, request, visible);
  }

  private Set<RegionId> excludedRegions(RoutingRequest request, ModelExchange exchange) {
    if (!settingsOf(request).get(SettingCatalog.SPILL_ENABLED)) {
      return request.allowedRegions();
    }
    return exchange == null ? Set.of() : exchange.excludedRegions();
  }

  private RoutingPolicy policy(RoutingRequest request) {
    return switch (settingsOf(request).get(SettingCatalog.POLICY)) {
      case "least-loaded" -> leastLoaded;
      case "round-robin" -> roundRobin;
      default -> expectedCost;
    };
  }

  private EffectiveSettings settingsOf(RoutingRequest request) {
    return state.settings().effective(request.customer(), state.config().region(), request.kind());
  }

  private PolicyTuning tuning(RoutingRequest request) {
    long chargeNanos = settingsOf(request).get(SettingCatalog.SPILL_CHARGE).toNanos();
    return PolicyTuning.DEFAULT
        .withUrgentSpillCharge(chargeNanos)
        .withOtherSpillCharge(chargeNanos);
  }

  private static RoutingView withoutRegions(Set<RegionId> excluded, RoutingView view) {
    List<RegionSummary> regions = new ArrayList<>();
    for (RegionSummary region : view.regions()) {
      if (!excluded.contains(region.region())) {
        regions.add(region);
      }
    }
    return new RoutingView(view.ownRegion(), view.engines(), regions, view.queue());
  }
}
