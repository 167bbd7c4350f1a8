package org.gentianslip.entry.peer;

import java.util.List;

/**
 * Tells a peer what an instance knows of itself and its region.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id the id of the instance
 * @param region its region
 * @param incarnation its incarnation in hexadecimal
 * @param leaving whether it is leaving
 * @param settingsRevision the settings revision in force
 * @param freeSlots the spare capacity of its region's engines, in requests
 * @param leavingEngines the engines of its region that are leaving
 */
public record Hello(
    String id,
    String region,
    String incarnation,
    boolean leaving,
    long settingsRevision,
    int freeSlots,
    List<String> leavingEngines) {

  /** Copies the list. */
  public Hello {
    leavingEngines = leavingEngines == null ? List.of() : List.copyOf(leavingEngines);
  }
}
