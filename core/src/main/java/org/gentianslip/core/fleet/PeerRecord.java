package org.gentianslip.core.fleet;

import java.util.Set;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.ServiceId;

/**
 * The state that an instance reports of itself. Immutable and thread-safe.
 *
 * @param id the instance
 * @param incarnation identifies its process; a later process has a higher number
 * @param beat a number that increases with each report of that process
 * @param region its region
 * @param dataCentre its data centre
 * @param callerAddress the address for callers, as {@code IP:PORT}
 * @param controlAddress the address for messages of other instances
 * @param forwardAddress the address for forwarded requests
 * @param capacity its present processor capacity, in hundredths of a core, greater than 0
 * @param ready whether it serves requests
 * @param leaving whether it is shutting down
 * @param size its processor capacity without overload, in hundredths of a core, greater than 0
 * @param unreached the services with backend servers in its region to which it can't connect
 * @param wire the version of the messages that it sends and reads
 */
public record PeerRecord(
    InstanceId id,
    long incarnation,
    long beat,
    RegionId region,
    DataCentreId dataCentre,
    String callerAddress,
    String controlAddress,
    String forwardAddress,
    int capacity,
    boolean ready,
    boolean leaving,
    int size,
    Set<ServiceId> unreached,
    WireVersion wire) {

  /** Copies the set. */
  public PeerRecord {
    unreached = Set.copyOf(unreached);
  }

  /** Creates the record of an instance of this build that reaches all services. */
  public PeerRecord(
      InstanceId id,
      long incarnation,
      long beat,
      RegionId region,
      DataCentreId dataCentre,
      String callerAddress,
      String controlAddress,
      String forwardAddress,
      int capacity,
      boolean ready,
      boolean leaving,
      int size) {
    this(
        id,
        incarnation,
        beat,
        region,
        dataCentre,
        callerAddress,
        controlAddress,
        forwardAddress,
        capacity,
        ready,
        leaving,
        size,
        Set.of(),
        WireVersion.CURRENT);
  }

  /** Creates the record of an instance that has its full capacity. */
  public PeerRecord(
      InstanceId id,
      long incarnation,
      long beat,
      RegionId region,
      DataCentreId dataCentre,
      String callerAddress,
      String controlAddress,
      String forwardAddress,
      int capacity,
      boolean ready,
      boolean leaving) {
    this(
        id,
        incarnation,
        beat,
        region,
        dataCentre,
        callerAddress,
        controlAddress,
        forwardAddress,
        capacity,
        ready,
        leaving,
        capacity);
  }

  /** Returns whether this record is newer than another record of the same instance. */
  public boolean isNewerThan(PeerRecord other) {
    return incarnation != other.incarnation ? incarnation > other.incarnation : beat > other.beat;
  }

  /** Returns whether this record differs from another one in more than the beat. */
  boolean differsFrom(PeerRecord other) {
    return !with(other.beat, wire).equals(other);
  }

  /**
   * Returns this record with the wire version that is known of the same process, if an instance
   * that knows no versions has passed this record on.
   */
  PeerRecord withWireOf(PeerRecord known) {
    boolean lost = wire.equals(WireVersion.UNSTATED) && incarnation == known.incarnation;
    return lost ? with(beat, known.wire) : this;
  }

  private PeerRecord with(long newBeat, WireVersion newWire) {
    return new PeerRecord(
        id,
        incarnation,
        newBeat,
        region,
        dataCentre,
        callerAddress,
        controlAddress,
        forwardAddress,
        capacity,
        ready,
        leaving,
        size,
        unreached,
        newWire);
  }
}
