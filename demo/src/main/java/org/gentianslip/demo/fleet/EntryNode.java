package org.gentianslip.demo.fleet;

import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;

/**
 * An entry instance of a fleet.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the id of the instance
 * @param region the region of the instance
 * @param callerPort the port for callers
 * @param peerPort the port for other instances
 * @param operatorPort the port for operators
 */
public record EntryNode(
    InstanceId id, RegionId region, int callerPort, int peerPort, int operatorPort) {

  /** Returns the address for callers, as {@code IP:PORT}. */
  public String callerAddress() {
    return FleetLayout.LOOPBACK + ":" + callerPort;
  }

  /** Returns the address for operators, as {@code IP:PORT}. */
  public String operatorAddress() {
    return FleetLayout.LOOPBACK + ":" + operatorPort;
  }
}
