package org.gentianslip.core.membership;

import java.util.Map;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.ServiceId;

/**
 * Holds what an instance tells of itself. Immutable and safe for use by several threads.
 *
 * @param id the instance
 * @param startedMillis when its process started, in Unix milliseconds; it tells lives apart
 * @param beat a number that grows during that life
 * @param region its region
 * @param dataCentre its data centre
 * @param callerAddress where it serves callers, as {@code IP:PORT}
 * @param controlAddress where it hears its peers
 * @param forwardAddress where it takes forwarded requests
 * @param ready whether it serves requests
 * @param leaving whether it is shutting down
 * @param waitMillis the wait that it expects for a request to each service that it can reach
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

  /** Copies the map. */
  public PeerRecord {
    waitMillis = Map.copyOf(waitMillis);
  }

  /** Returns whether this record was made after another one of the same instance. */
  public boolean isNewerThan(PeerRecord other) {
    return startedMillis != other.startedMillis
        ? startedMillis > other.startedMillis
        : beat > other.beat;
  }
}
