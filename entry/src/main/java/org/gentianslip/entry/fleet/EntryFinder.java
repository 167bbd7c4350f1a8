package org.gentianslip.entry.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.membership.PeerRecord;
import org.gentianslip.entry.gateway.GatewayPlace;
import org.gentianslip.entry.gateway.GatewayState;

/**
 * Tells callers which instances to use: those of their region, and if there is none, all others.
 *
 * <p>Safe for use by several threads.
 */
public final class EntryFinder {

  private final GatewayState state;

  /** Creates a finder that answers from a state. */
  public EntryFinder(GatewayState state) {
    this.state = state;
  }

  /**
   * Returns the addresses for callers.
   *
   * @param region the caller's region
   * @param limit the greatest number of addresses
   */
  public List<String> find(long nowNanos, RegionId region, int limit) {
    GatewayPlace place = state.place();
    List<String> near = new ArrayList<>();
    List<String> far = new ArrayList<>();
    for (PeerRecord peer : state.peers().serving(nowNanos)) {
      (peer.region().equals(region) ? near : far).add(peer.callerAddress());
    }
    String own = place.host() + ":" + place.callerPort();
    if (state.ready()) {
      (place.region().equals(region) ? near : far).add(own);
    }
    List<String> found = near.isEmpty() ? far : near;
    if (found.isEmpty()) {
      return List.of(own);
    }
    Collections.shuffle(found);
    return List.copyOf(found.subList(0, Math.min(limit, found.size())));
  }
}
