package org.gentianslip.core.membership;

import java.util.Map;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.ServiceId;

/**
 * The state that an instance reports of itself. Immutable and thread-safe.
 *
 * @param id the instance
 * @param startedMillis when its process started, in Unix milliseconds; identifies its incarnation
 * @param beat a number that increases during that incarnation
 * @param region its region
 * @param dataCentre its data centre
 * @param callerAddress the address for callers, as {@code IP:PORT}
 * @param controlAddress the address for hellos of peers
 * @param forwardAddress the address for forwarded requests
 * @param ready whether it serves requests
 * @param leaving whether it is shutting down
 * @param waitMillis the expected wait of a request, in milliseconds, by each service that the
 *     instance can reach
 */
public record PeerRecord(
    InstanceId id,
    long startedMillis,
    long beat,
    RegionId region,
    DataCentreId dataCentre,
    String callerAddress,
    String controlAddress,
    String forwardAddress,
    boolean ready,
    boolean leaving,
    Map<ServiceId, Double> waitMillis) {

  /** Creates a record with a copy of the map. */
  public PeerRecord {
    waitMillis = Map.copyOf(waitMillis);
  }

  /** Returns whether this record is newer than another record of the same instance. */
  public boolean isNewerThan(PeerRecord other) {
    return startedMillis != other.startedMillis
        ? startedMillis > other.startedMillis
        : beat > other.beat;
  }
}
