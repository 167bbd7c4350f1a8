package org.gentianslip.core.limit;

/**
 * What a backend server has said about the requests that it takes, or about the refusals for want
 * of room that it bears. Immutable.
 *
 * @param perSecond the requests or refusals per second of all instances together, or a negative
 *     number if it names no limit
 * @param heardNanos when it said so, in nanoseconds of the monotonic clock
 */
public record StatedLimit(double perSecond, long heardNanos) {

  private static final double NONE = -1;

  /** Returns the statement that there is no limit. */
  public static StatedLimit none(long heardNanos) {
    return new StatedLimit(NONE, heardNanos);
  }

  /** Returns whether there is a limit. */
  public boolean isLimited() {
    return perSecond >= 0;
  }

  /** Returns whether this statement was heard later than another one. */
  public boolean isNewerThan(StatedLimit other) {
    return heardNanos - other.heardNanos > 0;
  }
}
