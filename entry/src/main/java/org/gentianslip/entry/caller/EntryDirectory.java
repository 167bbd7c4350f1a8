package org.gentianslip.entry.caller;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.membership.EntryCandidate;
import org.gentianslip.core.membership.EntryList;
import org.gentianslip.core.membership.IncarnationState;
import org.gentianslip.core.membership.InstanceInfo;
import org.gentianslip.core.membership.InstanceState;
import org.gentianslip.core.membership.Member;
import org.gentianslip.core.membership.MembershipTable;
import org.gentianslip.entry.http.EntryAddress;
import org.gentianslip.entry.state.FleetState;
import org.gentianslip.entry.state.RegionReport;

/**
 * Tells callers which instances to use.
 *
 * <p>It names live instances of allowed regions only, those of the own region first. Safe for use
 * by several threads.
 */
public final class EntryDirectory {

  private final FleetState state;

  /** Creates a directory. */
  public EntryDirectory(FleetState state) {
    this.state = state;
  }

  /** Returns the instances for a request, best first. */
  public List<EntryAddress> entriesFor(long nowNanos, RequestSettings settings) {
    EntryList list =
        EntryList.choose(
            settings.customer(), settings.allowedRegions(), regionOrder(), candidates(nowNanos));
    return list.entries().stream()
        .map(i -> new EntryAddress(i.id().value(), i.region().value(), i.callerAddress()))
        .toList();
  }

  private List<RegionId> regionOrder() {
    List<RegionId> order = new ArrayList<>();
    order.add(state.place().region());
    state.regions().all().stream()
        .sorted(Comparator.comparingLong(RegionReport::roundTripNanos))
        .map(RegionReport::region)
        .forEach(order::add);
    return order;
  }

  private List<EntryCandidate> candidates(long nowNanos) {
    MembershipTable table = state.membership().table();
    List<EntryCandidate> candidates = new ArrayList<>();
    for (Member m : table.members()) {
      double busy = m.life().map(IncarnationState::busyShare).orElse(0.0);
      candidates.add(new EntryCandidate(m.info(), table.stateOf(nowNanos, m.info().id()), busy));
    }
    InstanceInfo self = state.membership().self();
    var own = state.leaving() ? InstanceState.LEAVING : InstanceState.LIVE;
    candidates.add(new EntryCandidate(self, own, state.busyShare(nowNanos)));
    return candidates;
  }
}
