package org.gentianslip.core.fleet;

import java.util.List;

/**
 * A message about the fleet from one instance to another. Immutable and thread-safe.
 *
 * @param self the record of the sender
 * @param number the number up to which the sender's changes are complete with this message
 * @param ack what the sender has received from the receiver
 * @param peers the changes of other instances
 * @param summaries the changes of data centres
 */
public record SyncMessage(
    PeerRecord self,
    long number,
    SyncAck ack,
    List<PeerStatement> peers,
    List<DataCentreSummary> summaries) {

  /** Copies the lists. */
  public SyncMessage {
    peers = List.copyOf(peers);
    summaries = List.copyOf(summaries);
  }
}
