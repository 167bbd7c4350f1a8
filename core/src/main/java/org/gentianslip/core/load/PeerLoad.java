package org.gentianslip.core.load;

/**
 * The load that one instance puts on a backend server. Immutable and thread-safe.
 *
 * @param running the number of its requests there that have not ended
 * @param urgentPrefillMillis the outstanding prefill time of its urgent requests, in milliseconds
 * @param otherPrefillMillis the outstanding prefill time of its other requests, in milliseconds
 * @param receivedNanos when the report was received, in nanoseconds of the monotonic clock
 */
public record PeerLoad(
    int running, double urgentPrefillMillis, double otherPrefillMillis, long receivedNanos) {}
