package org.gentianslip.core.membership;

/**
 * The timeouts after which beliefs about instances expire. Immutable and thread-safe.
 *
 * @param doubtAfterNanos how long a suspected instance still counts as live after its last sign of
 *     life; longer than the time between two heartbeats
 * @param silentAfterNanos how long an instance of the local region counts as live without any sign
 *     of life
 * @param goneAfterNanos how long a silent instance that is not listed is remembered
 */
public record MembershipTimeouts(long doubtAfterNanos, long silentAfterNanos, long goneAfterNanos) {

  /** The minimum of {@code silentAfterNanos} that {@link #of} returns. */
  public static final long MIN_SILENT_NANOS = 4_000_000_000L;

  private static final long GONE_NANOS = 60_000_000_000L;

  /**
   * Validates the times.
   *
   * @throws IllegalArgumentException if a time is not positive, or the times are not in ascending
   *     order
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
   * Returns the timeouts for a region.
   *
   * @param tickNanos the time between two ticks, in nanoseconds
   * @param ticksPerTurn the number of ticks within which an instance contacts all others of its
   *     region
   * @see ContactPlan#ticksPerTurn(int)
   */
  public static MembershipTimeouts of(long tickNanos, int ticksPerTurn) {
    long silent = Math.max(MIN_SILENT_NANOS, 2 * tickNanos * ticksPerTurn);
    return new MembershipTimeouts(
        Math.min(silent, tickNanos + tickNanos / 2), silent, Math.max(GONE_NANOS, silent));
  }
}
