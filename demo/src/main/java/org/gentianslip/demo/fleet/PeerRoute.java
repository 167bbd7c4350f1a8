package org.gentianslip.demo.fleet;

import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;

/**
 * A relay's port by which one region reaches an entry instance of another.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param from the region that connects
 * @param to the region of the instance
 * @param instance the instance
 * @param listenPort the relay's port
 * @param targetPort the instance's peer port
 */
public record PeerRoute(
    RegionId from, RegionId to, InstanceId instance, int listenPort, int targetPort) {}
