package org.gentianslip.demo.fleet;

import org.gentianslip.core.id.RegionId;

/**
 * A backend server of a fleet.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the id of the backend server
 * @param region the region of the backend server
 * @param modelEngine whether it is a model engine; if not, it is a server of the plain service
 * @param port the port that it listens on
 */
public record BackendNode(String id, RegionId region, boolean modelEngine, int port) {

  /** Returns the address, as {@code IP:PORT}. */
  public String address() {
    return FleetLayout.LOOPBACK + ":" + port;
  }
}
