package org.gentianslip.entry.peer;

import java.util.List;

/**
 * The state that an instance reports to a peer, in the JSON form of a hello.
 *
 * <p>It holds ages instead of points in time, because the monotonic clocks of two instances are not
 * related. Immutable and safe for use by several threads.
 *
 * @param id the id of the instance
 * @param region its region
 * @param dataCentre its data centre
 * @param callerAddress its caller port as {@code IP:PORT}
 * @param peerAddress its peer port as {@code IP:PORT}
 * @param incarnation its incarnation in hexadecimal
 * @param beat a number that grows during that incarnation
 * @param leaving whether it is leaving
 * @param busyShare the share of its region's engine slots that it occupies, from 0 to 1
 * @param settingsRevision the revision of the settings in force
 * @param settingsSha256 the hash of that revision's manifest
 * @param listVersion the version of the instance list that it uses
 * @param regions the spare capacity of the regions, including its own
 * @param leavingEngines the engines of its region that it knows to be leaving
 * @param hints its view of other instances
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
   * The spare capacity of a region.
   *
   * @param region the region
   * @param freeSlots the spare capacity, in requests
   * @param ageMillis the age of the report, in milliseconds
   * @param roundTripMillis the round-trip time from the sender, in milliseconds, 0 if unknown
   */
  public record RegionPart(String region, int freeSlots, long ageMillis, long roundTripMillis) {}

  /**
   * An engine that is leaving.
   *
   * @param engine the engine
   * @param ageMillis how long ago it was seen to be leaving, in milliseconds
   */
  public record EnginePart(String engine, long ageMillis) {}

  /**
   * The sender's view of a third instance.
   *
   * @param id the instance
   * @param incarnation its incarnation in hexadecimal
   * @param beat the beat that the view is based on
   * @param kind the kind of the hint
   */
  public record HintPart(String id, String incarnation, long beat, String kind) {}
}
