package org.gentianslip.core.quota;

/**
 * A report of usage and when it was received. Immutable and thread-safe.
 *
 * @param usage the usage
 * @param heardNanos when it was received, in nanoseconds of the monotonic clock
 */
public record HeardUsage(QuotaUsage usage, long heardNanos) {

  /**
   * Returns what is believed of the usage now. A report is valid for the propagation time and then
   * decreases linearly to zero over one window, in which the reported work leaves the window.
   */
  QuotaUsage at(long nowNanos, long windowNanos) {
    double overdue = nowNanos - heardNanos - QuotaWindow.PROPAGATION_NANOS;
    double factor = Math.max(0, Math.min(1, 1 - overdue / windowNanos));
    return factor == 1 ? usage : usage.times(factor);
  }

  /** Returns whether nothing is left of the report. */
  boolean isExpired(long nowNanos, long windowNanos) {
    return nowNanos - heardNanos >= QuotaWindow.PROPAGATION_NANOS + windowNanos;
  }
}
