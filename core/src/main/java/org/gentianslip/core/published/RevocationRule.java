package org.gentianslip.core.published;

import java.util.Optional;
import org.gentianslip.core.time.ClockReading;

/**
 * How old the knowledge of the configuration may be when a key is accepted.
 *
 * <p>If the rule is strict, a key that was removed from the configuration is accepted for no longer
 * than the limit, at any instance. Immutable and thread-safe.
 *
 * @param strict whether the limit applies
 * @param limitMillis the limit, in milliseconds, greater than 0
 */
public record RevocationRule(boolean strict, long limitMillis) {

  /** The rule that accepts keys whatever the age of the configuration. */
  public static final RevocationRule NONE = new RevocationRule(false, 5_000);

  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * Two watch calls and their round trips must take at most 0.4 of the limit, so that an instance
   * whose last confirmation came just before the publisher was lost accepts keys for another 0.6.
   */
  private static final long WATCHES_PER_LIMIT = 6;

  /** The longest call as part of the limit, as it may be needed if others cease to confirm. */
  private static final double LONG_WATCH_RATIO = 0.8;

  private static final long MIN_WATCH_MILLIS = 250;
  private static final long MAX_WATCH_MILLIS = 1_000;

  /**
   * The part of the limit from which an instance seeks confirmations itself. In normal operation it
   * is confirmed by its relay before, at up to 0.54 of the limit.
   */
  private static final double SEEK_RATIO = 0.55;

  /**
   * Validates the limit.
   *
   * @throws IllegalArgumentException if it is not positive
   */
  public RevocationRule {
    if (limitMillis <= 0) {
      throw new IllegalArgumentException("Limit must be positive: " + limitMillis);
    }
  }

  /**
   * Returns whether a key may be accepted that the configuration in force holds.
   *
   * @param confirmation what is known of that configuration, read before it
   * @param now a reading that was taken after the request was read
   */
  public boolean mayAccept(Optional<Confirmation> confirmation, ClockReading now) {
    return !strict
        || confirmation.map(c -> c.ageNanos(now) < limitMillis * NANOS_PER_MILLI).orElse(false);
  }

  /** Returns whether an instance should ask others, as its last confirmation is long ago. */
  public boolean seeks(Optional<Confirmation> confirmation, ClockReading now) {
    double seekNanos = SEEK_RATIO * limitMillis * NANOS_PER_MILLI;
    return strict && confirmation.map(c -> c.ageNanos(now) >= seekNanos).orElse(true);
  }

  /**
   * Returns the maximum time of a call that waits for changes, in milliseconds.
   *
   * @param relay whether other instances rely on the confirmations of this one
   * @param longMillis the time if this instance may rely on others
   */
  public long watchMillis(
      boolean relay, long longMillis, Optional<Confirmation> confirmation, ClockReading now) {
    if (!strict) {
      return longMillis;
    }
    boolean othersConfirm = confirmation.map(Confirmation::byPeer).orElse(false);
    if (!relay && othersConfirm && !seeks(confirmation, now)) {
      return Math.min(longMillis, (long) (LONG_WATCH_RATIO * limitMillis));
    }
    long millis = Math.max(MIN_WATCH_MILLIS, limitMillis / WATCHES_PER_LIMIT);
    return Math.min(MAX_WATCH_MILLIS, millis);
  }
}
