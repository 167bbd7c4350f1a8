package org.gentianslip.entry.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.gentianslip.core.fleet.CapacitySample;
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

  private record Candidate(String address, int capacity) {}

  /** Creates a selector for the instances known to a state. */
  public InstanceSelector(GatewayState state) {
    this.state = state;
  }

  /**
   * Returns addresses of instances in random order, drawn in proportion to their capacity, or the
   * address of this instance if none is available.
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
    List<Candidate> local = new ArrayList<>();
    List<Candidate> inAllowedRegions = new ArrayList<>();
    List<Candidate> others = new ArrayList<>();
    FleetSnapshot snapshot = state.fleet().snapshot(nowNanos);
    for (RegionId instanceRegion : snapshot.regions()) {
      List<Candidate> ofRegion =
          listOf(instanceRegion, region, allowed, local, inAllowedRegions, others);
      for (PeerRecord peer : snapshot.serving(instanceRegion)) {
        ofRegion.add(new Candidate(peer.callerAddress(), peer.capacity()));
      }
    }
    String ownAddress = config.host() + ":" + config.callerPort();
    if (state.ready()) {
      listOf(config.region(), region, allowed, local, inAllowedRegions, others)
          .add(new Candidate(ownAddress, state.presentCapacity()));
    }
    for (List<Candidate> candidates : List.of(local, inAllowedRegions, others)) {
      if (!candidates.isEmpty()) {
        return CapacitySample.draw(
                candidates, Candidate::capacity, limit, ThreadLocalRandom.current())
            .stream()
            .map(Candidate::address)
            .toList();
      }
    }
    return List.of(ownAddress);
  }

  private static List<Candidate> listOf(
      RegionId instanceRegion,
      RegionId callerRegion,
      Set<RegionId> allowed,
      List<Candidate> local,
      List<Candidate> inAllowedRegions,
      List<Candidate> others) {
    if (instanceRegion.equals(callerRegion)) {
      return local;
    }
    return allowed.isEmpty() || allowed.contains(instanceRegion) ? inAllowedRegions : others;
  }
}
