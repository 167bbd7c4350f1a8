package org.gentianslip.core.fleet;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.gentianslip.core.id.InstanceId;

/**
 * How far this instance and each peer have received each other's changes.
 *
 * <p>A lost message repeats its changes with the next one, as only an acknowledgement advances the
 * cursor. A message holds the changes that one process lacked, which its acknowledgement names by
 * incarnation; another process that receives it acknowledges nothing of it. Thread-safe.
 */
public final class SyncCursors {

  private final Map<InstanceId, Cursor> cursors = new ConcurrentHashMap<>();

  private record Cursor(SyncAck received, long acknowledged) {
    static final Cursor START = new Cursor(SyncAck.NONE, 0);
  }

  /** Returns the number of the last own change that a peer has acknowledged. */
  public long acknowledgedBy(InstanceId peer) {
    return cursors.getOrDefault(peer, Cursor.START).acknowledged();
  }

  /** Returns the acknowledgement to send to a peer. */
  public SyncAck receivedFrom(InstanceId peer) {
    return cursors.getOrDefault(peer, Cursor.START).received();
  }

  /**
   * Records a message of a peer.
   *
   * @param peer the peer
   * @param sent the incarnation of the peer, and the number up to which its message is complete
   * @param ack what the peer acknowledges
   * @param ownIncarnation the incarnation of this instance
   */
  public void record(InstanceId peer, SyncAck sent, SyncAck ack, long ownIncarnation) {
    cursors.compute(
        peer,
        (id, known) -> {
          Cursor before = known == null ? Cursor.START : known;
          boolean sameProcess = before.received().incarnation() == sent.incarnation();
          long received = sameProcess ? before.received().number() : 0;
          long number =
              isMeantFor(ownIncarnation, ack) ? Math.max(received, sent.number()) : received;
          long acknowledged = ack.incarnation() == ownIncarnation ? ack.number() : 0;
          return new Cursor(new SyncAck(sent.incarnation(), number), acknowledged);
        });
  }

  /** Returns whether a message holds what this process lacks, or all changes of its sender. */
  private static boolean isMeantFor(long ownIncarnation, SyncAck ack) {
    return ack.incarnation() == ownIncarnation || ack.equals(SyncAck.NONE);
  }

  /** Forgets all peers but the given ones. */
  public void retain(Set<InstanceId> peers) {
    cursors.keySet().retainAll(peers);
  }
}
