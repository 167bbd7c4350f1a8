package org.gentianslip.core.membership;

import java.util.Objects;
import java.util.Optional;
import org.gentianslip.core.id.Incarnation;

/**
 * Holds what is believed of one instance. Immutable and safe for use by several threads.
 *
 * @param info the instance
 * @param listing what the last published list says of it
 * @param life its present life, if it was ever heard of
 * @param evidenceNanos when it last gave a sign of life, to anyone, or was first listed, in
 *     nanoseconds of the monotonic clock
 * @param newsNanos when the holder learnt that the instance leaves or is doubted, or came to life,
 *     the last of them, on the same clock
 * @param reachable whether the last exchange that the holder began with it succeeded, or none was
 *     tried
 */
public record Member(
    InstanceInfo info,
    Listing listing,
    Optional<IncarnationState> life,
    long evidenceNanos,
    long newsNanos,
    boolean reachable) {

  /** Checks the parts. */
  public Member {
    Objects.requireNonNull(info);
    Objects.requireNonNull(listing);
    Objects.requireNonNull(life);
  }

  static Member unheard(long nowNanos, InstanceInfo info, Listing listing) {
    return new Member(info, listing, Optional.empty(), nowNanos, nowNanos, true);
  }

  /** Returns whether the present life is known to be the given one. */
  public boolean isIn(Incarnation incarnation) {
    return life.isPresent() && life.get().incarnation().equals(incarnation);
  }

  /** Returns whether the instance shuts down, by its own word or by the list's. */
  public boolean isLeaving() {
    return life.map(IncarnationState::leaving).orElse(false) || listing == Listing.LEAVING;
  }

  /** Returns whether someone got no answer from the present life and no later sign is known. */
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

  /** Returns this belief with a later view of the same life. */
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
