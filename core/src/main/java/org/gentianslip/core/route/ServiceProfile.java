package org.gentianslip.core.route;

import java.util.Optional;
import org.gentianslip.core.id.ServiceId;

/**
 * The properties of a service. Immutable and thread-safe.
 *
 * @param service the service
 * @param maxConnections the maximum number of connections that one backend server accepts, from all
 *     clients together
 * @param warmUpMillis the time for which a backend server is cold after its start, in milliseconds
 * @param coldPerSecond the requests per second that a cold backend server can handle; 0 if it is
 *     never cold
 * @param engine the properties of its model engines; empty for a plain service
 */
public record ServiceProfile(
    ServiceId service,
    int maxConnections,
    long warmUpMillis,
    double coldPerSecond,
    Optional<EngineProfile> engine) {}
