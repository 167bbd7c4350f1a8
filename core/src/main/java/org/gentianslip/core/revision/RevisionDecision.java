package org.gentianslip.core.revision;

import org.gentianslip.core.id.InstanceId;

/** The action that follows an event. Immutable and thread-safe. */
public sealed interface RevisionDecision {

  /**
   * Fetch the parts of a state from the config service.
   *
   * @param ref the state
   */
  record FetchFromService(ManifestRef ref) implements RevisionDecision {}

  /**
   * Fetch a state from a peer.
   *
   * @param peer the peer
   * @param ref the state
   */
  record PullFromPeer(InstanceId peer, ManifestRef ref) implements RevisionDecision {}

  /**
   * Put a state in force and announce it to peers.
   *
   * @param ref the state
   */
  record Adopt(ManifestRef ref) implements RevisionDecision {}

  /**
   * Do nothing.
   *
   * @param reason the reason why the event has no effect
   */
  record Ignore(Reason reason) implements RevisionDecision {}

  /** The reason why an event has no effect. Thread-safe. */
  enum Reason {
    /** The state is in force. */
    IN_FORCE,
    /** A later state is in force. */
    OLDER,
    /** The state was found invalid before. */
    REJECTED,
    /** The state, or a later one, is being fetched. */
    BEING_FETCHED,
    /** The state could not be fetched; the next event tries again. */
    FETCH_FAILED
  }
}
