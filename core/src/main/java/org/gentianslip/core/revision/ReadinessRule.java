package org.gentianslip.core.revision;

/**
 * Decides whether an instance has sufficiently recent settings to start serving.
 *
 * <p>The rule applies only at start: an instance that was ready once remains ready with its
 * accepted state, however long it is disconnected. Stateless and thread-safe.
 */
public final class ReadinessRule {

  private ReadinessRule() {}

  /**
   * Returns whether the instance may start to serve.
   *
   * @param adoption the adoption state of its settings
   * @param known the states that it has learned of since its start
   */
  public static boolean isReady(RevisionAdoption adoption, KnownRevisions known) {
    if (adoption.accepted().equals(ManifestRef.NONE) || known.peersPending() > 0) {
      return false;
    }
    if (known.latestOfService().isEmpty() && known.peersAnswered() == 0) {
      return false;
    }
    if (known.latestOfService().isPresent() && !adoption.isSettled(known.latestOfService().get())) {
      return false;
    }
    return !known.latestOfPeers().isAfter(adoption.accepted());
  }
}
