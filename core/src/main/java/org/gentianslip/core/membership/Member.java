package org.gentianslip.core.membership;

import java.util.Objects;
import java.util.Optional;
import org.gentianslip.core.id.Incarnation;

/**
 * The beliefs about one instance. Immutable and thread-safe.
 *
 * @param info the instance
 * @param listing its state in the last published list
 * @param incarnationState the state of its current incarnation, if a heartbeat of it was ever
 *     received
 * @param lastSignNanos when it last showed a sign of life to any instance, or was first listed, in
 *     nanoseconds of the monotonic clock
 * @param changedNanos when this instance last learned that the member is leaving, is suspected or
 *     has a new incarnation, on the same clock
 * @param reachable whether the last hello that this instance sent to it was answered, or none was
 *     sent yet
 */
public record Member(
    InstanceInfo info,
    Listing listing,
    Optional<IncarnationState> incarnationState,
    long lastSignNanos,
    long changedNanos,
    boolean reachable) {

  /** Validates the components. */
  public Member {
    Objects.requireNonNull(info);
    Objects.requireNonNull(listing);
    Objects.requireNonNull(incarnationState);
  }

  static Member neverSeen(long nowNanos, InstanceInfo info, Listing listing) {
    return new Member(info, listing, Optional.empty(), nowNanos, nowNanos, true);
  }

  /** Returns whether the current incarnation is known to be the given one. */
  public boolean hasIncarnation(Incarnation incarnation) {
    return incarnationState.isPresent() && incarnationState.get().incarnation().equals(incarnation);
  }

  /** Returns whether the instance is shutting down, as reported by itself or by the list. */
  public boolean isLeaving() {
    return incarnationState.map(IncarnationState::leaving).orElse(false)
        || listing == Listing.LEAVING;
  }

  /**
   * Returns whether the current incarnation is suspected: it did not answer an instance, and no
   * later sign of life is known.
   */
  public boolean isSuspected() {
    return incarnationState.map(IncarnationState::isSuspected).orElse(!reachable);
  }

  Member withListing(InstanceInfo newInfo, Listing newListing) {
    return new Member(
        newInfo, newListing, incarnationState, lastSignNanos, changedNanos, reachable);
  }

  Member withHeartbeat(long nowNanos, Heartbeat h, boolean answered) {
    boolean newReachable = reachable || answered;
    if (!hasIncarnation(h.incarnation())) {
      Listing newListing = listing == Listing.LEAVING ? Listing.LIVE : listing;
      return new Member(
          h.info(),
          newListing,
          Optional.of(IncarnationState.of(h)),
          nowNanos,
          nowNanos,
          newReachable);
    }
    boolean showsSignOfLife = h.beat() > incarnationState.get().beat();
    return with(nowNanos, h.info(), incarnationState.get().with(h), showsSignOfLife, newReachable);
  }

  Member withHint(long nowNanos, Hint hint) {
    if (!hasIncarnation(hint.incarnation())) {
      return this;
    }
    boolean showsSignOfLife =
        hint.kind() != Hint.Kind.SILENT && hint.beat() > incarnationState.get().beat();
    return with(nowNanos, info, incarnationState.get().with(hint), showsSignOfLife, reachable);
  }

  Member withoutAnswer(long nowNanos) {
    if (incarnationState.isEmpty()) {
      return new Member(info, listing, incarnationState, lastSignNanos, changedNanos, false);
    }
    return with(nowNanos, info, incarnationState.get().suspected(), false, false);
  }

  /** Returns a copy with a later state of the same incarnation. */
  private Member with(
      long nowNanos,
      InstanceInfo newInfo,
      IncarnationState next,
      boolean showsSignOfLife,
      boolean newReachable) {
    IncarnationState current = incarnationState.get();
    boolean newlySuspected = next.isSuspected() && !current.isSuspected();
    boolean changed = newlySuspected || next.leaving() != current.leaving();
    return new Member(
        newInfo,
        listing,
        Optional.of(next),
        showsSignOfLife ? nowNanos : lastSignNanos,
        changed ? nowNanos : changedNanos,
        newReachable);
  }
}
