package org.gentianslip.standin.config;

/**
 * The calls of readers since the start. Immutable.
 *
 * @param admitted the calls within the budget
 * @param refused the calls answered 429
 * @param peakPerSecond the most calls admitted in one second
 * @param waiting the watches that wait now
 */
public record CallCounts(long admitted, long refused, int peakPerSecond, int waiting) {}
