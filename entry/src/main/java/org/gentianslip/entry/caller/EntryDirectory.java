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
import org.gentianslip.entry.state.RegionCapacityReport;

/**
 * Selects the instances that callers should use.
 *
 * <p>Only live instances of allowed regions are selected, those of the local region first. Safe for
 * use by several threads.
 */
public final class EntryDirectory {

  private final FleetState state;

  /** Creates a directory. */
  public EntryDirectory(FleetState state) {
    this.state = state;
  }

  /** Returns the instances for a request, the preferred one first. */
  public List<EntryAddress> entriesFor(long nowNanos, RequestSettings settings) {
    EntryList list =
        EntryList.choose(
            settings.customer(), settings.allowedRegions(), regionOrder(), candidates(nowNanos));
    return list.entries().stream()
        .map(
            instance ->
                new EntryAddress(
                    instance.id().value(), instance.region().value(), instance.callerAddress()))
        .toList();
  }

  private List<RegionId> regionOrder() {
    List<RegionId> order = new ArrayList<>();
    order.add(state.config().region());
    state.regions().reports().stream()
        .sorted(Comparator.comparingLong(RegionCapacityReport::roundTripNanos))
        .map(RegionCapacityReport::region)
        .forEach(order::add);
    return order;
  }

  private List<EntryCandidate> candidates(long nowNanos) {
    MembershipTable table = state.membership().table();
    List<EntryCandidate> candidates = new ArrayList<>();
    for (Member member : table.members()) {
      double busyShare = member.incarnationState().map(IncarnationState::busyShare).orElse(0.0);
      candidates.add(
          new EntryCandidate(
              member.info(), table.stateOf(nowNanos, member.info().id()), busyShare));
    }
    InstanceInfo self = state.membership().self();
    var ownState = state.leaving() ? InstanceState.LEAVING : InstanceState.LIVE;
    candidates.add(new EntryCandidate(self, ownState, state.busyShare(nowNanos)));
    return candidates;
  }
}
