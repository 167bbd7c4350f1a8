package org.gentianslip.core.fleet;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import org.gentianslip.core.id.InstanceId;

/**
 * The fleet as one instance sees it, and the exchange of this view with other instances.
 *
 * <p>Thread-safe.
 */
public final class FleetView {

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
    FleetSnapshot next =
        FleetSnapshot.of(nowNanos, changes.last(), live(nowNanos), summaries.heard(nowNanos));
    snapshot.set(next);
    return next;
  }

  /** Returns whether the process that sent a record is live, so far as is known. */
  public boolean isLive(long nowNanos, PeerRecord peer) {
    return live(nowNanos).stream()
        .anyMatch(p -> p.id().equals(peer.id()) && p.incarnation() == peer.incarnation());
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
