package org.gentianslip.entry.peer;

import java.util.List;

/**
 * Tells a peer what an instance knows; the JSON form of an exchange.
 *
 * <p>Ages stand in place of times, since monotonic clocks of two instances have nothing in common.
 * Immutable and safe for use by several threads.
 *
 * @param id the id of the instance
 * @param region its region
 * @param dataCentre its data centre
 * @param callerAddress its caller port as {@code IP:PORT}
 * @param peerAddress its peer port as {@code IP:PORT}
 * @param incarnation its incarnation in hexadecimal
 * @param beat a number that grows during that incarnation
 * @param leaving whether it is leaving
 * @param busyShare the share of its region's engines that it keeps busy, from 0 to 1
 * @param settingsRevision the revision of the settings in force
 * @param settingsSha256 the hash of that revision's manifest
 * @param listVersion the version of the platform's list that it uses
 * @param regions what it knows of the spare capacity of regions, its own among them
 * @param leavingEngines the engines of its region that it knows to be leaving
 * @param hints what it believes of third instances
 */
public record Hello(
    String id,
    String region,
    String dataCentre,
    String callerAddress,
    String peerAddress,
    String incarnation,
    long beat,
    boolean leaving,
    double busyShare,
    long settingsRevision,
    String settingsSha256,
    long listVersion,
    List<RegionPart> regions,
    List<EnginePart> leavingEngines,
    List<HintPart> hints) {

  /** Copies the lists. */
  public Hello {
    regions = regions == null ? List.of() : List.copyOf(regions);
    leavingEngines = leavingEngines == null ? List.of() : List.copyOf(leavingEngines);
    hints = hints == null ? List.of() : List.copyOf(hints);
  }

  /**
   * Tells the spare capacity of a region.
   *
   * @param region the region
   * @param freeSlots the spare capacity, in requests
   * @param ageMillis the age of the report, in milliseconds
   * @param roundTripMillis the round trip from the sender, in milliseconds, 0 if not known
   */
  public record RegionPart(String region, int freeSlots, long ageMillis, long roundTripMillis) {}

  /**
   * Tells that an engine is leaving.
   *
   * @param engine the engine
   * @param ageMillis how long ago it was seen, in milliseconds
   */
  public record EnginePart(String engine, long ageMillis) {}

  /**
   * Tells a belief about a third instance.
   *
   * @param id the instance
   * @param incarnation its incarnation in hexadecimal
   * @param beat the beat that the belief rests on
   * @param kind the kind of the belief
   */
  public record HintPart(String id, String incarnation, long beat, String kind) {}
}
