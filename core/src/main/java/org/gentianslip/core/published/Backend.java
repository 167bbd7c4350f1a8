package org.gentianslip.core.published;

import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.ServiceId;

/**
 * Describes a backend server as it is published. Immutable and safe for use by several threads.
 *
 * @param id the id of this life of the backend server
 * @param service its service
 * @param address where it listens, as {@code IP:PORT}
 * @param dataCentre its data centre
 * @param slots the requests that it runs at once
 * @param leaving whether it is leaving
 * @param coldMillis how long it stays cold from the time at which this was written, in milliseconds
 * @param startedMillis when it started, in Unix milliseconds, or 0 if not told
 */
public record Backend(
    EngineId id,
    ServiceId service,
    String address,
    DataCentreId dataCentre,
    int slots,
    boolean leaving,
    long coldMillis,
    long startedMillis) {}
