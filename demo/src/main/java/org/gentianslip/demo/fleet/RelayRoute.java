package org.gentianslip.demo.fleet;

import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;

/**
 * A route of the relay, through which one region reaches an entry instance of another region.
 *
 * <p>Immutable and thread-safe.
 *
 * @param from the region that opens connections
 * @param to the region of the instance
 * @param instance the id of the instance
 * @param listenPort the port on which the relay listens
 * @param targetPort the peer port of the instance
 */
public record RelayRoute(
    RegionId from, RegionId to, InstanceId instance, int listenPort, int targetPort) {}
