package org.gentianslip.core.membership;

/**
 * The timeouts after which beliefs about instances expire. Immutable and thread-safe.
 *
 * @param suspectAfterNanos how long a suspected instance still counts as live after its last sign
 *     of life, in nanoseconds; longer than the time between two heartbeats
 * @param silentAfterNanos how long an instance of the local region counts as live without any sign
 *     of life, in nanoseconds
 * @param forgetAfterNanos how long a silent instance that is not listed is remembered, in
 *     nanoseconds
 */
public record MembershipTimeouts(
    long suspectAfterNanos, long silentAfterNanos, long forgetAfterNanos) {

  /** The minimum of {@code silentAfterNanos} that {@link #of} returns, in nanoseconds. */
  public static final long MIN_SILENT_NANOS = 4_000_000_000L;

  /** The minimum of {@code forgetAfterNanos} that {@link #of} returns, in nanoseconds. */
  private static final long MIN_FORGET_NANOS = 60_000_000_000L;

  /**
   * Validates the times.
   *
   * @throws IllegalArgumentException if a time is not positive, or the times are not in ascending
   *     order
   */
  public MembershipTimeouts {
    if (suspectAfterNanos <= 0
        || silentAfterNanos < suspectAfterNanos
        || forgetAfterNanos < silentAfterNanos) {
      throw new IllegalArgumentException(
          "Timeouts must be positive and in ascending order: "
              + suspectAfterNanos
              + ", "
              + silentAfterNanos
              + ", "
              + forgetAfterNanos);
    }
  }

  /**
   * Returns the timeouts for a region.
   *
   * @param tickNanos the time between two ticks, in nanoseconds
   * @param ticksPerRound the number of ticks within which an instance contacts all others of its
   *     region
   * @see ContactPlan#ticksPerRound(int)
   */
  public static MembershipTimeouts of(long tickNanos, int ticksPerRound) {
    long silentNanos = Math.max(MIN_SILENT_NANOS, 2 * tickNanos * ticksPerRound);
    return new MembershipTimeouts(
        Math.min(silentNanos, tickNanos + tickNanos / 2),
        silentNanos,
        Math.max(MIN_FORGET_NANOS, silentNanos));
  }
}
