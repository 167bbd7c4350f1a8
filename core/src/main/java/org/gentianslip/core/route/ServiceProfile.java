package org.gentianslip.core.route;

import java.util.Optional;
import org.gentianslip.core.id.ServiceId;

/**
 * Describes a service. Immutable and safe for use by several threads.
 *
 * @param service the service
 * @param maxConnections the connections that one backend server accepts from all callers together
 * @param warmUpMillis how long a backend server is cold after its start, in milliseconds
 * @param coldPerSecond the requests a second that a cold backend server bears; 0 if it is never
 *     cold
 * @param engine what is special to model engines; empty for a plain service
 */
public record ServiceProfile(
    ServiceId service,
    int maxConnections,
    long warmUpMillis,
    double coldPerSecond,
    Optional<EngineProfile> engine) {}
