package org.gentianslip.core.revision;

import java.util.Objects;
import java.util.Optional;

/**
 * Holds what an instance has heard of the settings in its present life.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param shownByService the state that the config service showed last, if it has answered
 * @param peersAnswered the peers that have told their state
 * @param peersPending the listed peers that have neither answered nor failed to answer yet
 * @param latestOfPeers the latest state that a peer has told
 */
public record KnownRevisions(
    Optional<ManifestRef> shownByService,
    int peersAnswered,
    int peersPending,
    ManifestRef latestOfPeers) {

  /**
   * Checks the parts.
   *
   * @throws IllegalArgumentException if a count is negative
   */
  public KnownRevisions {
    Objects.requireNonNull(shownByService);
    Objects.requireNonNull(latestOfPeers);
    if (peersAnswered < 0 || peersPending < 0) {
      throw new IllegalArgumentException(
          "Counts of peers must not be negative: " + peersAnswered + ", " + peersPending);
    }
  }
}
