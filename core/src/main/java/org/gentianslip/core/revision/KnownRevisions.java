package org.gentianslip.core.revision;

import java.util.Objects;
import java.util.Optional;

/**
 * The states of the settings that an instance has learned of since its start.
 *
 * <p>Immutable and thread-safe.
 *
 * @param latestOfService the state that the config service returned last, if it has answered
 * @param peersAnswered the number of peers that have reported their state
 * @param peersPending the number of listed peers that have neither answered nor failed to answer
 *     yet
 * @param latestOfPeers the latest state that a peer has reported
 */
public record KnownRevisions(
    Optional<ManifestRef> latestOfService,
    int peersAnswered,
    int peersPending,
    ManifestRef latestOfPeers) {

  /**
   * Validates the components.
   *
   * @throws IllegalArgumentException if a count is negative
   */
  public KnownRevisions {
    Objects.requireNonNull(latestOfService);
    Objects.requireNonNull(latestOfPeers);
    if (peersAnswered < 0 || peersPending < 0) {
      throw new IllegalArgumentException(
          "Counts of peers must not be negative: " + peersAnswered + ", " + peersPending);
    }
  }
}
