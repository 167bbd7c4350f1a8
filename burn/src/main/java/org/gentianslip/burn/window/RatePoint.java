package org.gentianslip.burn.window;

/**
 * A burn rate at a time.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param relativeMillis the time relative to the report, in milliseconds, at most 0
 * @param rate the burn rate
 */
public record RatePoint(long relativeMillis, double rate) {}
