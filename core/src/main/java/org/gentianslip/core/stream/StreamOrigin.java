package org.gentianslip.core.stream;

import org.gentianslip.core.id.SoftwareVersion;

/**
 * Where a stream began. Immutable and thread-safe.
 *
 * @param request the id of the caller's attempt that brought the first event
 * @param version the version of the software of the backend server that sent it
 * @param begunNanos when that event was received, in nanoseconds of the monotonic clock
 */
public record StreamOrigin(String request, SoftwareVersion version, long begunNanos) {}
