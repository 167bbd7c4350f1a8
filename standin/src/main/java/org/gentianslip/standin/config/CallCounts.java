package org.gentianslip.standin.config;

/**
 * Counters of read calls since the start. Immutable.
 *
 * @param admitted the calls within the rate limit
 * @param refused the calls that were answered with status 429
 * @param peakPerSecond the maximum number of calls that were admitted in one second
 * @param waiting the number of watches that wait now
 */
public record CallCounts(long admitted, long refused, int peakPerSecond, int waiting) {}
