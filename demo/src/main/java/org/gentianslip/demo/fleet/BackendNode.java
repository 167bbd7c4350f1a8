package org.gentianslip.demo.fleet;

import org.gentianslip.core.id.RegionId;

/**
 * A backend server of a fleet.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id the backend server's id
 * @param region its region
 * @param model whether it is a model engine; otherwise it offers the plain service
 * @param port the port that it listens on
 */
public record BackendNode(String id, RegionId region, boolean model, int port) {

  /** Returns the address as {@code IP:PORT}. */
  public String address() {
    return FleetLayout.LOOPBACK + ":" + port;
  }
}
