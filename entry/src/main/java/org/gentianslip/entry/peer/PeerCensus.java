package org.gentianslip.entry.peer;

/** Counts the peers that have told what they know. Implementations are thread-safe. */
public interface PeerCensus {

  /** Returns the number of peers that have answered in this life. */
  int answered();

  /** Returns the number of listed peers of the region that were not heard and have not failed. */
  int pending();
}
