package org.gentianslip.core.revision;

import org.gentianslip.core.id.InstanceId;

/** An event that concerns one state of the settings. Immutable and thread-safe. */
public sealed interface RevisionEvent {

  /** Returns the state that the event is about. */
  ManifestRef ref();

  /**
   * The config service returned a manifest.
   *
   * @param ref the state that the manifest describes
   */
  record ServiceAnnounced(ManifestRef ref) implements RevisionEvent {}

  /**
   * A peer announced the state that it has accepted.
   *
   * @param peer the peer
   * @param ref the state
   */
  record PeerAnnounced(InstanceId peer, ManifestRef ref) implements RevisionEvent {}

  /**
   * All parts of a state were fetched, their hashes match, and they are valid.
   *
   * @param ref the state
   */
  record Validated(ManifestRef ref) implements RevisionEvent {}

  /**
   * All parts of a state were fetched and their hashes match, but they are invalid.
   *
   * @param ref the state
   */
  record Rejected(ManifestRef ref) implements RevisionEvent {}

  /**
   * A state could not be fetched completely.
   *
   * @param ref the state
   */
  record FetchFailed(ManifestRef ref) implements RevisionEvent {}
}
