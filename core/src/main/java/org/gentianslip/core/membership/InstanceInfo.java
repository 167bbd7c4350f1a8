package org.gentianslip.core.membership;

import java.util.Objects;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;

/**
 * Tells where an instance is. Immutable and safe for use by several threads.
 *
 * @param id the instance
 * @param region its region
 * @param dataCentre its data centre
 * @param callerAddress where callers reach it, as {@code IP:PORT}
 * @param peerAddress where other instances reach it, as {@code IP:PORT}
 */
public record InstanceInfo(
    InstanceId id,
    RegionId region,
    DataCentreId dataCentre,
    String callerAddress,
    String peerAddress) {

  /** Checks the parts. */
  public InstanceInfo {
    Objects.requireNonNull(id);
    Objects.requireNonNull(region);
    Objects.requireNonNull(dataCentre);
    Objects.requireNonNull(callerAddress);
    Objects.requireNonNull(peerAddress);
  }
}
