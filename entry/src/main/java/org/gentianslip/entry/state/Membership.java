package org.gentianslip.entry.state;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.membership.InstanceInfo;
import org.gentianslip.core.membership.ListedInstance;
import org.gentianslip.core.membership.Listing;
import org.gentianslip.core.membership.MembershipTable;
import org.gentianslip.core.membership.MembershipTimeouts;
import org.gentianslip.entry.configservice.InstanceList;
import org.gentianslip.entry.configservice.InstanceRecord;
import org.gentianslip.entry.process.EntryPlace;

/**
 * Holds the membership table and replaces it by read-copy-update.
 *
 * <p>Safe for use by several threads.
 */
public final class Membership {

  /** The time between two hellos, in nanoseconds. */
  public static final long TICK_NANOS = 1_000_000_000L;

  private final InstanceInfo self;
  private final AtomicReference<MembershipTable> table;

  /** Creates the membership of an instance that knows no other. */
  public Membership(EntryPlace place) {
    this.self =
        new InstanceInfo(
            place.instance(),
            place.region(),
            place.dataCentre(),
            place.host() + ":" + place.callerPort(),
            place.host() + ":" + place.peerPort());
    this.table =
        new AtomicReference<>(MembershipTable.of(self, MembershipTimeouts.of(TICK_NANOS, 1)));
  }

  /** Returns this instance. */
  public InstanceInfo self() {
    return self;
  }

  /** Returns the present table. */
  public MembershipTable table() {
    return table.get();
  }

  /** Replaces the table; the change may run more than once and must have no side effects. */
  public void update(UnaryOperator<MembershipTable> change) {
    table.updateAndGet(change);
  }

  /** Takes a list of the platform. */
  public void takeList(long nowNanos, InstanceList list) {
    List<ListedInstance> listed = new ArrayList<>();
    for (InstanceRecord entry : list.entries()) {
      listed.add(new ListedInstance(infoOf(entry), entry.live() ? Listing.LIVE : Listing.LEAVING));
    }
    update(t -> t.withList(nowNanos, list.version(), listed));
  }

  /** Returns an element of the list as the membership table sees it. */
  public static InstanceInfo infoOf(InstanceRecord entry) {
    return new InstanceInfo(
        InstanceId.of(entry.id()),
        RegionId.of(entry.region()),
        DataCentreId.of(entry.dataCentre()),
        entry.callerAddress(),
        entry.peerAddress());
  }
}
