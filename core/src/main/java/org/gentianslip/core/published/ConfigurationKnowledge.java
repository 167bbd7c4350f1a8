package org.gentianslip.core.published;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.gentianslip.core.time.ClockReading;

/**
 * What this instance knows of how recent its configuration is.
 *
 * <p>A confirmation is recorded only after the configuration that it confirms is in force. Safe for
 * use by several threads.
 */
public final class ConfigurationKnowledge {

  /** How long a version that another instance has stated counts as the one in force there. */
  private static final long STATED_NANOS = TimeUnit.SECONDS.toNanos(8);

  private static final double NANOS_PER_SECOND = 1e9;

  private final AtomicReference<Optional<Confirmation>> confirmation =
      new AtomicReference<>(Optional.empty());
  private final AtomicReference<Optional<Confirmation>> byPublisher =
      new AtomicReference<>(Optional.empty());
  private final AtomicReference<Optional<Confirmation>> byOthers =
      new AtomicReference<>(Optional.empty());
  private volatile Stated highest = new Stated(Long.MIN_VALUE, 0);

  /** The highest version that other instances have stated, and when. */
  private record Stated(long version, long heardNanos) {}

  /** Returns the latest confirmation; must be read before the configuration that it confirms. */
  public Optional<Confirmation> confirmation() {
    return confirmation.get();
  }

  /**
   * Returns the latest confirmation by another instance that was later than those by the publisher.
   * An earlier one may be what the other instance has heard from this one.
   */
  public Optional<Confirmation> confirmationByOthers() {
    return byOthers.get();
  }

  /**
   * Records that the version in force was the newest one at a moment.
   *
   * @param now a present reading of the clocks
   */
  public void confirm(Confirmation next, ClockReading now) {
    record(confirmation, next, now);
    if (!next.byPeer()) {
      record(byPublisher, next, now);
      return;
    }
    Optional<Confirmation> own = byPublisher.get();
    if (own.isEmpty() || next.ageNanos(now) < own.get().ageNanos(now)) {
      record(byOthers, next, now);
    }
  }

  private static void record(
      AtomicReference<Optional<Confirmation>> latest, Confirmation next, ClockReading now) {
    latest.updateAndGet(
        known -> Optional.of(known.map(k -> Confirmation.latest(k, next, now)).orElse(next)));
  }

  /**
   * Applies what another instance has stated in its response to a message of this instance.
   *
   * @param ownVersion the version in force here
   * @param statedVersion the version in force there
   * @param statedAgeMillis the age of the confirmation there, in milliseconds
   * @param sent a reading that was taken before the message was sent
   */
  public void applyResponse(
      long ownVersion,
      long statedVersion,
      long statedAgeMillis,
      ClockReading sent,
      ClockReading now) {
    if (ownVersion >= statedVersion) {
      confirm(new Confirmation(ownVersion, sent.minusMillis(statedAgeMillis), true), now);
    }
  }

  /** Returns the age of the confirmation in seconds, infinite if there is none. */
  public double ageSeconds(ClockReading now) {
    return confirmation
        .get()
        .map(c -> c.ageNanos(now) / NANOS_PER_SECOND)
        .orElse(Double.POSITIVE_INFINITY);
  }

  /** Returns the age to state to other instances, in milliseconds, if there is a confirmation. */
  public OptionalLong ageMillis(ClockReading now) {
    Optional<Confirmation> known = confirmation.get();
    // One is added, as the age must not be rounded down.
    return known.isEmpty()
        ? OptionalLong.empty()
        : OptionalLong.of(
            Math.max(0, TimeUnit.NANOSECONDS.toMillis(known.get().ageNanos(now)) + 1));
  }

  /** Records the version that another instance has stated. */
  public void recordStated(long version, long nowNanos) {
    Stated known = highest;
    if (version >= known.version() || nowNanos - known.heardNanos() > STATED_NANOS) {
      highest = new Stated(version, nowNanos);
    }
  }

  /** Returns whether another instance has a later version in force. */
  public boolean isBehind(long ownVersion, long nowNanos) {
    Stated known = highest;
    return known.version() > ownVersion && nowNanos - known.heardNanos() <= STATED_NANOS;
  }
}
