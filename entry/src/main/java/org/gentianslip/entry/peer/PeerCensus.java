package org.gentianslip.entry.peer;

/** Counts the peers that have replied to hellos. Implementations are thread-safe. */
public interface PeerCensus {

  /** Returns the number of peers that have replied to this incarnation. */
  int answered();

  /**
   * Returns the number of known peers of the own region that have neither replied nor failed to
   * reply.
   */
  int pending();
}
