package org.gentianslip.core.revision;

import org.gentianslip.core.id.InstanceId;

/** Tells what was learnt of a state of the settings. Immutable and safe for several threads. */
public sealed interface RevisionEvent {

  /** Returns the state that the event is about. */
  ManifestRef ref();

  /**
   * The config service shows a manifest.
   *
   * @param ref the state that it names
   */
  record ServiceAnnounced(ManifestRef ref) implements RevisionEvent {}

  /**
   * A peer tells which state it has accepted.
   *
   * @param peer the peer
   * @param ref the state
   */
  record PeerAnnounced(InstanceId peer, ManifestRef ref) implements RevisionEvent {}

  /**
   * All parts of a state are there, their hashes match, and they are valid.
   *
   * @param ref the state
   */
  record Validated(ManifestRef ref) implements RevisionEvent {}

  /**
   * The parts of a state are there, their hashes match, but they are invalid.
   *
   * @param ref the state
   */
  record Rejected(ManifestRef ref) implements RevisionEvent {}

  /**
   * A state could not be fetched whole.
   *
   * @param ref the state
   */
  record FetchFailed(ManifestRef ref) implements RevisionEvent {}
}
