package org.gentianslip.core.fleet;

/**
 * A stated wait and when it was heard. Immutable and thread-safe.
 *
 * @param stated what was stated
 * @param heardNanos when it was heard, in nanoseconds of the monotonic clock
 */
public record HeardWait(ServiceWait stated, long heardNanos) {

  /** Returns the time until the next statement is due, in nanoseconds. */
  public long renewalNanos(long nowNanos) {
    return Math.max(0, heardNanos + DataCentreSummaries.INTERVAL_NANOS - nowNanos);
  }

  /** Returns the longer of both waits, as old as the older one. */
  static HeardWait longer(HeardWait one, HeardWait other) {
    boolean oneIsOlder = one.heardNanos - other.heardNanos < 0;
    return new HeardWait(
        ServiceWait.longer(one.stated, other.stated),
        oneIsOlder ? one.heardNanos : other.heardNanos);
  }
}
