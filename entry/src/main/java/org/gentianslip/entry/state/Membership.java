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
import org.gentianslip.entry.process.EntryConfig;

/**
 * Holds the membership table and replaces it atomically on each change.
 *
 * <p>Safe for use by several threads.
 */
public final class Membership {

  /** The time between two hellos, in nanoseconds. */
  public static final long HELLO_INTERVAL_NANOS = 1_000_000_000L;

  private final InstanceInfo self;
  private final AtomicReference<MembershipTable> table;

  /** Creates the membership of an instance that knows no other instance. */
  public Membership(EntryConfig config) {
    this.self =
        new InstanceInfo(
            config.instance(),
            config.region(),
            config.dataCentre(),
            config.host() + ":" + config.callerPort(),
            config.host() + ":" + config.peerPort());
    this.table =
        new AtomicReference<>(
            MembershipTable.of(self, MembershipTimeouts.of(HELLO_INTERVAL_NANOS, 1)));
  }

  /** Returns this instance. */
  public InstanceInfo self() {
    return self;
  }

  /** Returns the current table. */
  public MembershipTable table() {
    return table.get();
  }

  /** Replaces the table. The change may run more than once and must have no side effects. */
  public void update(UnaryOperator<MembershipTable> change) {
    table.updateAndGet(change);
  }

  /** Applies an instance list. */
  public void applyInstanceList(long nowNanos, InstanceList list) {
    List<ListedInstance> listed = new ArrayList<>();
    for (InstanceRecord record : list.entries()) {
      listed.add(
          new ListedInstance(
              toInstanceInfo(record), record.live() ? Listing.LIVE : Listing.LEAVING));
    }
    update(t -> t.withList(nowNanos, list.version(), listed));
  }

  /** Converts an instance list's record to the form of the membership table. */
  public static InstanceInfo toInstanceInfo(InstanceRecord record) {
    return new InstanceInfo(
        InstanceId.of(record.id()),
        RegionId.of(record.region()),
        DataCentreId.of(record.dataCentre()),
        record.callerAddress(),
        record.peerAddress());
  }
}
