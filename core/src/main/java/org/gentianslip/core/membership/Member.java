package org.gentianslip.core.membership;

import java.util.Objects;
import java.util.Optional;
import org.gentianslip.core.id.Incarnation;

/**
 * The beliefs about one instance. Immutable and thread-safe.
 *
 * @param info the instance
 * @param listing its state in the last published list
 * @param life the state of its current incarnation, if a heartbeat of it was ever received
 * @param evidenceNanos when it last showed a sign of life to any instance, or was first listed, in
 *     nanoseconds of the monotonic clock
 * @param newsNanos when this instance last learned that the member is leaving, is suspected or has
 *     a new incarnation, on the same clock
 * @param reachable whether the last hello that this instance sent to it was answered, or none was
 *     sent yet
 */
public record Member(
    InstanceInfo info,
    Listing listing,
    Optional<IncarnationState> life,
    long evidenceNanos,
    long newsNanos,
    boolean reachable) {

  /** Validates the components. */
  public Member {
    Objects.requireNonNull(info);
    Objects.requireNonNull(listing);
    Objects.requireNonNull(life);
  }

  static Member unheard(long nowNanos, InstanceInfo info, Listing listing) {
    return new Member(info, listing, Optional.empty(), nowNanos, nowNanos, true);
  }

  /** Returns whether the current incarnation is known to be the given one. */
  public boolean isIn(Incarnation incarnation) {
    return life.isPresent() && life.get().incarnation().equals(incarnation);
  }

  /** Returns whether the instance is shutting down, as reported by itself or by the list. */
  public boolean isLeaving() {
    return life.map(IncarnationState::leaving).orElse(false) || listing == Listing.LEAVING;
  }

  /**
   * Returns whether the current incarnation is suspected: it did not answer an instance, and no
   * later sign of life is known.
   */
  public boolean isDoubted() {
    return life.map(IncarnationState::isDoubted).orElse(!reachable);
  }

  Member withListing(InstanceInfo newInfo, Listing newListing) {
    return new Member(newInfo, newListing, life, evidenceNanos, newsNanos, reachable);
  }

  Member withHeartbeat(long nowNanos, Heartbeat h, boolean answered) {
    boolean reached = reachable || answered;
    if (!isIn(h.incarnation())) {
      Listing kept = listing == Listing.LEAVING ? Listing.LIVE : listing;
      return new Member(
          h.info(), kept, Optional.of(IncarnationState.of(h)), nowNanos, nowNanos, reached);
    }
    boolean heard = h.beat() > life.get().beat();
    return with(nowNanos, h.info(), life.get().with(h), heard, reached);
  }

  Member withHint(long nowNanos, Hint hint) {
    if (!isIn(hint.incarnation())) {
      return this;
    }
    boolean heard = hint.kind() != Hint.Kind.SILENT && hint.beat() > life.get().beat();
    return with(nowNanos, info, life.get().with(hint), heard, reachable);
  }

  Member withoutAnswer(long nowNanos) {
    if (life.isEmpty()) {
      return new Member(info, listing, life, evidenceNanos, newsNanos, false);
    }
    return with(nowNanos, info, life.get().doubted(), false, false);
  }

  /** Returns a copy with a later state of the same incarnation. */
  private Member with(
      long nowNanos, InstanceInfo newInfo, IncarnationState later, boolean heard, boolean reached) {
    IncarnationState now = life.get();
    boolean doubted = later.isDoubted() && !now.isDoubted();
    boolean news = doubted || later.leaving() != now.leaving();
    return new Member(
        newInfo,
        listing,
        Optional.of(later),
        heard ? nowNanos : evidenceNanos,
        news ? nowNanos : newsNanos,
        reached);
  }
}
