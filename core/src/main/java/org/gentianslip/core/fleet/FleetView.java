package org.gentianslip.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.quota.FleetUsage;
import org.gentianslip.core.quota.HeardUsage;

/**
 * The fleet as one instance sees it, and the exchange of this view with other instances.
 *
 * <p>Thread-safe.
 */
public final class FleetView {

  /** The time without contact in the own data centre; members without load report every 4 s. */
  private static final long ISOLATION_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final PeerRecord firstRecord;
  private final ChangeCounter changes = new ChangeCounter();
  private final PeerRegistry peers;
  private final DataCentreSummaries summaries = new DataCentreSummaries(changes);
  private final SyncCursors cursors = new SyncCursors();
  private final AtomicReference<FleetSnapshot> snapshot =
      new AtomicReference<>(FleetSnapshot.EMPTY);

  /**
   * Creates the view of an instance that knows no other one.
   *
   * @param self the record of the instance
   */
  public FleetView(PeerRecord self) {
    this.firstRecord = self;
    this.peers = new PeerRegistry(self.id(), self.region(), self.incarnation(), changes);
  }

  /** Returns the other instances. */
  public PeerRegistry peers() {
    return peers;
  }

  /** Returns the summaries of the data centres. */
  public DataCentreSummaries summaries() {
    return summaries;
  }

  /** Returns the live instances, including those that are leaving. */
  public List<PeerRecord> live(long nowNanos) {
    return peers.live(dc -> dc.equals(firstRecord.dataCentre()) || summaries.isHeard(nowNanos, dc));
  }

  /**
   * Returns the instances that accept requests, grouped by region; at most {@link
   * FleetSnapshot#MAX_AGE_NANOS} old.
   */
  public FleetSnapshot snapshot(long nowNanos) {
    FleetSnapshot current = snapshot.get();
    if (current.isCurrent(nowNanos, changes.last())) {
      return current;
    }
    long change = changes.last();
    List<PeerRecord> live = live(nowNanos);
    FleetSnapshot next =
        FleetSnapshot.of(
            nowNanos, change, live, summaries.heard(nowNanos), quotaView(nowNanos, live));
    snapshot.set(next);
    return next;
  }

  /** Returns whether the process that sent a record is live, so far as is known. */
  public boolean isLive(long nowNanos, PeerRecord peer) {
    return live(nowNanos).stream()
        .anyMatch(p -> p.id().equals(peer.id()) && p.incarnation() == peer.incarnation());
  }

  private QuotaView quotaView(long nowNanos, List<PeerRecord> live) {
    List<HeardSummary> others = new ArrayList<>();
    for (HeardSummary s : summaries.all()) {
      if (!s.summary().dataCentre().equals(firstRecord.dataCentre())) {
        others.add(s);
      }
    }
    Set<InstanceId> reached = new HashSet<>();
    boolean isolated = isIsolated(nowNanos, live);
    for (PeerRecord p : live) {
      if (!isolated || !p.dataCentre().equals(firstRecord.dataCentre())) {
        reached.add(p.id());
      }
    }
    return QuotaView.of(firstRecord.dataCentre(), peers.known(nowNanos), reached, others);
  }

  /** Returns whether no other instance of the own data centre has been in contact recently. */
  private boolean isIsolated(long nowNanos, List<PeerRecord> live) {
    return live.stream()
        .filter(p -> p.dataCentre().equals(firstRecord.dataCentre()))
        .allMatch(p -> peers.sinceHeardNanos(nowNanos, p.id()) > ISOLATION_NANOS);
  }

  /** Returns what is known of the other instances for the quota of a customer. */
  public FleetUsage usageOf(long nowNanos, CustomerId customer) {
    return snapshot(nowNanos).quotas().of(customer);
  }

  /**
   * Returns what another relay of the own data centre last published of the customers with a quota.
   */
  public Map<CustomerId, HeardUsage> formerUsage() {
    Map<CustomerId, HeardUsage> usage = new HashMap<>();
    summaries
        .publishedByOther(firstRecord)
        .ifPresent(
            s ->
                s.summary()
                    .usage()
                    .forEach((c, u) -> usage.put(c, new HeardUsage(u, s.heardNanos()))));
    return usage;
  }

  /** Returns all remembered instances, live or silent. */
  public Collection<PeerRecord> known(long nowNanos) {
    return peers.known(nowNanos);
  }

  /**
   * Returns a message for another instance, with the changes that it has not acknowledged.
   *
   * @param self the present record of this instance
   * @param receiver the other instance
   */
  public SyncMessage compose(long nowNanos, PeerRecord self, InstanceId receiver) {
    long number = changes.last();
    long after = cursors.acknowledgedBy(receiver);
    return new SyncMessage(
        self,
        number,
        cursors.receivedFrom(receiver),
        peers.changesAfter(nowNanos, after, receiver),
        summaries.changesAfter(after, receiver));
  }

  /** Returns a message without changes, for an instance of which only the address is known. */
  public SyncMessage introduction(PeerRecord self) {
    return new SyncMessage(self, 0, SyncAck.NONE, List.of(), List.of());
  }

  /** Applies a message of another instance. */
  public void apply(long nowNanos, SyncMessage message) {
    InstanceId sender = message.self().id();
    peers.recordDirect(nowNanos, message.self());
    message.peers().forEach(s -> peers.recordRelayed(nowNanos, sender, s));
    message.summaries().forEach(s -> summaries.record(nowNanos, sender, s));
    cursors.record(
        sender,
        new SyncAck(message.self().incarnation(), message.number()),
        message.ack(),
        peers.ownIncarnation());
  }

  /** Forgets instances that were silent for too long. */
  public void forgetSilent(long nowNanos) {
    Set<InstanceId> remembered = new HashSet<>();
    peers.known(nowNanos).forEach(p -> remembered.add(p.id()));
    cursors.retain(remembered);
  }

  /**
   * Counts all other data centres as not heard until newer summaries of them arrive; called after a
   * pause of this process.
   */
  public void expireAll(long nowNanos) {
    summaries.expireAll(nowNanos);
    snapshot.set(FleetSnapshot.EMPTY);
  }
}
