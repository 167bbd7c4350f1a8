package org.gentianslip.core.revision;

import org.gentianslip.core.id.InstanceId;

/** Tells what follows an event. Immutable and safe for use by several threads. */
public sealed interface RevisionDecision {

  /**
   * Reads the parts of a state from the config service.
   *
   * @param ref the state
   */
  record FetchFromService(ManifestRef ref) implements RevisionDecision {}

  /**
   * Reads a state from a peer.
   *
   * @param peer the peer
   * @param ref the state
   */
  record PullFromPeer(InstanceId peer, ManifestRef ref) implements RevisionDecision {}

  /**
   * Puts a state in force and announces it.
   *
   * @param ref the state
   */
  record Adopt(ManifestRef ref) implements RevisionDecision {}

  /**
   * Does nothing.
   *
   * @param reason why
   */
  record Ignore(Reason reason) implements RevisionDecision {}

  /** Tells why an event has no effect. Safe for use by several threads. */
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
