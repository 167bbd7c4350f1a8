package org.gentianslip.entry.state;

import java.util.Set;

/**
 * Holds what another instance last told of itself.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id the id of the instance
 * @param region its region
 * @param incarnation its incarnation in hexadecimal
 * @param leaving whether it is leaving
 * @param settingsRevision the settings revision in force there
 * @param freeSlots the spare capacity of its region's engines as it sees them, in requests
 * @param leavingEngines the engines that it knows to be leaving
 * @param heardNanos when it was heard, in nanoseconds of this instance's monotonic clock
 * @param roundTripNanos the round trip of the exchange, in nanoseconds
 */
public record PeerState(
    String id,
    String region,
    String incarnation,
    boolean leaving,
    long settingsRevision,
    int freeSlots,
    Set<String> leavingEngines,
    long heardNanos,
    long roundTripNanos) {

  /** Copies the set. */
  public PeerState {
    leavingEngines = Set.copyOf(leavingEngines);
  }
}
