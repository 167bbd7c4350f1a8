package org.gentianslip.burn.window;

/**
 * A burn rate at one time.
 *
 * <p>Immutable and thread-safe.
 *
 * @param relativeMillis the time relative to the last snapshot, in milliseconds, at most 0
 * @param rate the burn rate
 */
public record BurnRatePoint(long relativeMillis, double rate) {}
