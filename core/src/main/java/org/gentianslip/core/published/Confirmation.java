package org.gentianslip.core.published;

import org.gentianslip.core.time.ClockReading;

/**
 * The knowledge that a version of the configuration was the newest one at a moment.
 *
 * <p>All changes that were acknowledged before the moment are known. Immutable and thread-safe.
 *
 * @param version the version of the configuration
 * @param asOf a moment at which it was the newest, or one before it
 * @param byPeer whether another instance has stated it, rather than the publisher
 */
public record Confirmation(long version, ClockReading asOf, boolean byPeer) {

  /** The largest age that another instance may state, in milliseconds; a larger one is invalid. */
  private static final long MAX_STATED_MILLIS = 86_400_000;

  /** Returns whether an age stated by another instance can be believed. */
  public static boolean isValidAge(long millis) {
    return millis >= 0 && millis <= MAX_STATED_MILLIS;
  }

  /** Returns the time since the moment, in nanoseconds. */
  public long ageNanos(ClockReading now) {
    return asOf.ageNanos(now);
  }

  /** Returns the one of two confirmations with the later moment. */
  public static Confirmation latest(Confirmation a, Confirmation b, ClockReading now) {
    return a.ageNanos(now) <= b.ageNanos(now) ? a : b;
  }
}
