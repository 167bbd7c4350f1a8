package org.gentianslip.entry.peer;

/** Counts the peers that have replied to hellos. Implementations are thread-safe. */
public interface PeerReplyCounts {

  /** Returns the number of peers that have replied to this incarnation. */
  int repliedCount();

  /**
   * Returns the number of known peers of the local region that have neither replied nor failed to
   * reply.
   */
  int pendingCount();
}
