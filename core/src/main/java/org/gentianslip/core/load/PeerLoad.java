package org.gentianslip.core.load;

/**
 * Tells the load that another instance puts on a backend server. Immutable and safe for use by
 * several threads.
 *
 * @param running its requests there that have not ended
 * @param urgentPrefillMillis the reading of urgent prompts that has not ended, in milliseconds
 * @param otherPrefillMillis the reading of other prompts that has not ended, in milliseconds
 * @param seenNanos when this was heard, in nanoseconds of the monotonic clock
 */
public record PeerLoad(
    int running, double urgentPrefillMillis, double otherPrefillMillis, long seenNanos) {}
