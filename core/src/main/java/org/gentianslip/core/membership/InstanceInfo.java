package org.gentianslip.core.membership;

import java.util.Objects;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;

/**
 * The location and the addresses of an instance. Immutable and thread-safe.
 *
 * @param id the instance
 * @param region its region
 * @param dataCentre its data centre
 * @param callerAddress the address for callers, as {@code IP:PORT}
 * @param peerAddress the address for other instances, as {@code IP:PORT}
 */
public record InstanceInfo(
    InstanceId id,
    RegionId region,
    DataCentreId dataCentre,
    String callerAddress,
    String peerAddress) {

  /** Validates the components. */
  public InstanceInfo {
    Objects.requireNonNull(id);
    Objects.requireNonNull(region);
    Objects.requireNonNull(dataCentre);
    Objects.requireNonNull(callerAddress);
    Objects.requireNonNull(peerAddress);
  }
}
