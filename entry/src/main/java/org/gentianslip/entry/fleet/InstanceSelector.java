package org.gentianslip.entry.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.gentianslip.core.fleet.FleetSnapshot;
import org.gentianslip.core.fleet.PeerRecord;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.route.RouteTable;
import org.gentianslip.entry.gateway.GatewayConfig;
import org.gentianslip.entry.gateway.GatewayState;

/**
 * Selects the instances that a caller should use.
 *
 * <p>It prefers the instances of the caller's region, then those of the regions that may serve all
 * requests to the host, then all others. Safe for use by several threads.
 */
public final class InstanceSelector {

  private final GatewayState state;

  /** Creates a selector for the instances known to a state. */
  public InstanceSelector(GatewayState state) {
    this.state = state;
  }

  /**
   * Returns addresses of instances in random order, or the address of this instance if none is
   * available.
   *
   * @param host the host name of the caller's requests
   * @param region the caller's region
   * @param limit the maximum number of addresses
   */
  public List<String> select(long nowNanos, String host, RegionId region, int limit) {
    GatewayConfig config = state.config();
    Set<RegionId> allowed =
        state
            .published()
            .routes()
            .map((RouteTable r) -> r.regionsAllowedForHost(host.toLowerCase(Locale.ROOT)))
            .orElse(Set.of());
    List<String> local = new ArrayList<>();
    List<String> inAllowedRegions = new ArrayList<>();
    List<String> others = new ArrayList<>();
    FleetSnapshot snapshot = state.fleet().snapshot(nowNanos);
    for (RegionId instanceRegion : snapshot.regions()) {
      List<String> addresses =
          listOf(instanceRegion, region, allowed, local, inAllowedRegions, others);
      for (PeerRecord peer : snapshot.serving(instanceRegion)) {
        addresses.add(peer.callerAddress());
      }
    }
    String ownAddress = config.host() + ":" + config.callerPort();
    if (state.ready()) {
      listOf(config.region(), region, allowed, local, inAllowedRegions, others).add(ownAddress);
    }
    for (List<String> addresses : List.of(local, inAllowedRegions, others)) {
      if (!addresses.isEmpty()) {
        Collections.shuffle(addresses);
        return List.copyOf(addresses.subList(0, Math.min(limit, addresses.size())));
      }
    }
    return List.of(ownAddress);
  }

  private static List<String> listOf(
      RegionId instanceRegion,
      RegionId callerRegion,
      Set<RegionId> allowed,
      List<String> local,
      List<String> inAllowedRegions,
      List<String> others) {
    if (instanceRegion.equals(callerRegion)) {
      return local;
    }
    return allowed.isEmpty() || allowed.contains(instanceRegion) ? inAllowedRegions : others;
  }
}
