package org.gentianslip.core.fleet;

/**
 * A summary and when it was received. Immutable and thread-safe.
 *
 * @param summary the summary
 * @param heardNanos when it was received, in nanoseconds of the monotonic clock
 */
record HeardSummary(DataCentreSummary summary, long heardNanos) {}
