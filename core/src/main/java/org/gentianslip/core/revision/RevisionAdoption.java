package org.gentianslip.core.revision;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * The state machine that decides which state of the settings an instance fetches and puts in force.
 *
 * <p>Invariants: the accepted state never decreases in the order of {@link ManifestRef}, and a
 * rejected state is never fetched or adopted again while it is remembered. Immutable and
 * thread-safe; each event returns a new value.
 *
 * @param accepted the state in force, or {@link ManifestRef#NONE}
 * @param fetching the state being fetched, or {@link ManifestRef#NONE}
 * @param fetchBegunNanos when the last fetch began, in nanoseconds of the monotonic clock
 * @param rejected the latest {@value #REJECTED_KEPT} states that were found invalid, in ascending
 *     order
 */
public record RevisionAdoption(
    ManifestRef accepted, ManifestRef fetching, long fetchBegunNanos, List<ManifestRef> rejected) {

  /** The number of rejected states that are remembered. */
  public static final int REJECTED_KEPT = 16;

  /** The time after which a fetch that has not ended may be started again, in nanoseconds. */
  public static final long FETCH_TIMEOUT_NANOS = 1_000_000_000L;

  /** Validates the components. */
  public RevisionAdoption {
    Objects.requireNonNull(accepted);
    Objects.requireNonNull(fetching);
    rejected = List.copyOf(rejected);
  }

  /** Returns the initial state of an instance that has just started. */
  public static RevisionAdoption initial() {
    return new RevisionAdoption(ManifestRef.NONE, ManifestRef.NONE, 0, List.of());
  }

  /**
   * Returns whether the given state or a later one is in force, or the given state was found
   * invalid.
   */
  public boolean isSettled(ManifestRef ref) {
    return !ref.isAfter(accepted) || rejected.contains(ref);
  }

  /**
   * Applies an event and returns the result.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @param event the event
   */
  public RevisionStep on(long nowNanos, RevisionEvent event) {
    boolean conflict = accepted.isAfter(ManifestRef.NONE) && event.ref().conflictsWith(accepted);
    if (event instanceof RevisionEvent.ServiceAnnounced fromService) {
      return offer(
          nowNanos,
          fromService.ref(),
          new RevisionDecision.FetchFromService(fromService.ref()),
          conflict);
    }
    if (event instanceof RevisionEvent.PeerAnnounced fromPeer) {
      RevisionDecision pull = new RevisionDecision.PullFromPeer(fromPeer.peer(), fromPeer.ref());
      return offer(nowNanos, fromPeer.ref(), pull, conflict);
    }
    if (event instanceof RevisionEvent.Validated validated) {
      return adopt(validated.ref(), conflict);
    }
    if (event instanceof RevisionEvent.Rejected invalid) {
      return reject(invalid.ref(), conflict);
    }
    return ignore(withoutFetch(event.ref()), RevisionDecision.Reason.FETCH_FAILED, conflict);
  }

  private RevisionStep offer(
      long nowNanos, ManifestRef ref, RevisionDecision fetch, boolean conflict) {
    if (ref.equals(accepted)) {
      return ignore(this, RevisionDecision.Reason.IN_FORCE, conflict);
    }
    if (!ref.isAfter(accepted)) {
      return ignore(this, RevisionDecision.Reason.OLDER, conflict);
    }
    if (rejected.contains(ref)) {
      return ignore(this, RevisionDecision.Reason.REJECTED, conflict);
    }
    if (!ref.isAfter(fetching) && nowNanos - fetchBegunNanos < FETCH_TIMEOUT_NANOS) {
      return ignore(this, RevisionDecision.Reason.BEING_FETCHED, conflict);
    }
    RevisionAdoption next = new RevisionAdoption(accepted, ref, nowNanos, rejected);
    return new RevisionStep(next, fetch, conflict);
  }

  private RevisionStep adopt(ManifestRef ref, boolean conflict) {
    RevisionAdoption idle = withoutFetch(ref);
    if (!ref.isAfter(accepted)) {
      return ignore(idle, RevisionDecision.Reason.OLDER, conflict);
    }
    RevisionAdoption next =
        new RevisionAdoption(ref, idle.fetching, idle.fetchBegunNanos, rejected);
    return new RevisionStep(next, new RevisionDecision.Adopt(ref), conflict);
  }

  private RevisionStep reject(ManifestRef ref, boolean conflict) {
    RevisionAdoption idle = withoutFetch(ref);
    List<ManifestRef> allRejected = new ArrayList<>(rejected);
    if (!allRejected.contains(ref)) {
      allRejected.add(ref);
    }
    allRejected.sort(null);
    List<ManifestRef> kept =
        allRejected.subList(Math.max(0, allRejected.size() - REJECTED_KEPT), allRejected.size());
    RevisionAdoption next =
        new RevisionAdoption(accepted, idle.fetching, idle.fetchBegunNanos, kept);
    return ignore(next, RevisionDecision.Reason.REJECTED, conflict);
  }

  private RevisionAdoption withoutFetch(ManifestRef ref) {
    return ref.equals(fetching)
        ? new RevisionAdoption(accepted, ManifestRef.NONE, fetchBegunNanos, rejected)
        : this;
  }

  private static RevisionStep ignore(
      RevisionAdoption next, RevisionDecision.Reason reason, boolean conflict) {
    return new RevisionStep(next, new RevisionDecision.Ignore(reason), conflict);
  }
}
