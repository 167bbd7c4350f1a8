package org.gentianslip.core.membership;

/**
 * Holds the times after which beliefs are no longer acted on. Immutable and safe for several
 * threads.
 *
 * @param doubtAfterNanos how long an instance that did not answer someone still counts as live
 *     after its last sign of life; longer than the time between two heartbeats
 * @param silentAfterNanos how long an instance of the own region counts as live without any sign
 * @param goneAfterNanos how long a silent instance that is not listed is remembered
 */
public record MembershipTimeouts(long doubtAfterNanos, long silentAfterNanos, long goneAfterNanos) {

  /** The least time without any sign of life after which an instance is silent. */
  public static final long MIN_SILENT_NANOS = 4_000_000_000L;

  private static final long GONE_NANOS = 60_000_000_000L;

  /**
   * Checks the times.
   *
   * @throws IllegalArgumentException if they are not positive or not in order
   */
  public MembershipTimeouts {
    if (doubtAfterNanos <= 0
        || silentAfterNanos < doubtAfterNanos
        || goneAfterNanos < silentAfterNanos) {
      throw new IllegalArgumentException(
          "Times must be positive and in order: "
              + doubtAfterNanos
              + ", "
              + silentAfterNanos
              + ", "
              + goneAfterNanos);
    }
  }

  /**
   * Returns the times for a region.
   *
   * @param tickNanos the time between two ticks, in nanoseconds
   * @param ticksPerTurn the ticks in which an instance contacts all others of its region
   * @see ContactPlan#ticksPerTurn(int)
   */
  public static MembershipTimeouts of(long tickNanos, int ticksPerTurn) {
    long silent = Math.max(MIN_SILENT_NANOS, 2 * tickNanos * ticksPerTurn);
    return new MembershipTimeouts(
        Math.min(silent, tickNanos + tickNanos / 2), silent, Math.max(GONE_NANOS, silent));
  }
}
