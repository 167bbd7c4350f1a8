package org.gentianslip.entry.caller;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.entry.http.EntryAddress;
import org.gentianslip.entry.platform.EntryRecord;
import org.gentianslip.entry.state.FleetState;
import org.gentianslip.entry.state.PeerState;

/**
 * Tells callers which instances to use.
 *
 * <p>It names instances of allowed regions only and leaves out those that are leaving or, in the
 * own region, silent. Safe for use by several threads.
 */
public final class EntryDirectory {

  private final FleetState state;

  /** Creates a directory. */
  public EntryDirectory(FleetState state) {
    this.state = state;
  }

  /** Returns the instances for a request, best first. */
  public List<EntryAddress> entriesFor(long nowNanos, RequestSettings settings) {
    var usable = new ArrayList<EntryRecord>();
    for (EntryRecord entry : state.list().entries()) {
      if (settings.allowedRegions().contains(RegionId.of(entry.region()))
          && usable(nowNanos, entry)) {
        usable.add(entry);
      }
    }
    String customer = settings.customer().value();
    usable.sort(
        Comparator.comparing((EntryRecord e) -> !isOwnRegion(e))
            .thenComparing(
                e -> RendezvousHash.weight(customer, e.id()), Comparator.reverseOrder()));
    return usable.stream()
        .map(e -> new EntryAddress(e.id(), e.region(), e.callerAddress()))
        .toList();
  }

  private boolean isOwnRegion(EntryRecord entry) {
    return entry.region().equals(state.place().region().value());
  }

  private boolean usable(long nowNanos, EntryRecord entry) {
    if (entry.id().equals(state.place().instance().value())) {
      return !state.leaving();
    }
    if (!entry.live()) {
      return false;
    }
    var peer = state.peers().fresh(nowNanos, entry.id());
    if (peer.isPresent()) {
      return !peer.map(PeerState::leaving).orElse(false);
    }
    return !isOwnRegion(entry);
  }
}
