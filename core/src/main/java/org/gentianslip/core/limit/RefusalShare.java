package org.gentianslip.core.limit;

/**
 * An instance's share of the refusals for want of room that a backend server bears. Immutable.
 *
 * @param perSecond the refusals of which the instance may be the cause in any second, 0 or more
 * @param intervalNanos the time after which the instance tries one more place at a backend server
 *     that refused a request to a place that seemed free, in nanoseconds
 * @see LimitShare#refusals
 */
public record RefusalShare(int perSecond, long intervalNanos) {

  /** The share of an instance that need not avoid refusals. */
  public static final RefusalShare UNLIMITED = new RefusalShare(Integer.MAX_VALUE, 0);
}
