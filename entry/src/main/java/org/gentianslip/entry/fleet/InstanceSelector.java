package org.gentianslip.entry.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.membership.PeerRecord;
import org.gentianslip.core.route.RouteTable;
import org.gentianslip.entry.gateway.GatewayConfig;
import org.gentianslip.entry.gateway.GatewayState;

/**
 * Tells callers which instances to use.
 *
 * <p>They are those of the caller's region; if there is none, those of the regions that may see all
 * requests to the host; if there is none either, all others. Safe for use by several threads.
 */
public final class InstanceSelector {

  private final GatewayState state;

  /** Creates a finder that answers from a state. */
  public InstanceSelector(GatewayState state) {
    this.state = state;
  }

  /**
   * Returns the addresses for callers.
   *
   * @param host the host name of the caller's requests
   * @param region the caller's region
   * @param limit the greatest number of addresses
   */
  public List<String> find(long nowNanos, String host, RegionId region, int limit) {
    GatewayConfig place = state.place();
    Set<RegionId> allowed =
        state
            .published()
            .routes()
            .map((RouteTable r) -> r.regionsOf(host.toLowerCase(Locale.ROOT)))
            .orElse(Set.of());
    List<String> near = new ArrayList<>();
    List<String> mayServe = new ArrayList<>();
    List<String> others = new ArrayList<>();
    for (PeerRecord peer : state.peers().serving(nowNanos)) {
      listFor(peer.region(), region, allowed, near, mayServe, others).add(peer.callerAddress());
    }
    String own = place.host() + ":" + place.callerPort();
    if (state.ready()) {
      listFor(place.region(), region, allowed, near, mayServe, others).add(own);
    }
    for (List<String> found : List.of(near, mayServe, others)) {
      if (!found.isEmpty()) {
        Collections.shuffle(found);
        return List.copyOf(found.subList(0, Math.min(limit, found.size())));
      }
    }
    return List.of(own);
  }

  private static List<String> listFor(
      RegionId of,
      RegionId caller,
      Set<RegionId> allowed,
      List<String> near,
      List<String> mayServe,
      List<String> others) {
    if (of.equals(caller)) {
      return near;
    }
    return allowed.isEmpty() || allowed.contains(of) ? mayServe : others;
  }
}
