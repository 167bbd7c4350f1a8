package org.gentianslip.core.revision;

/**
 * Decides whether an instance knows its settings well enough to serve.
 *
 * <p>The rule is for the start only: an instance that was ready once stays so with its accepted
 * state, however long it is cut off. Stateless and safe for use by several threads.
 */
public final class ReadinessRule {

  private ReadinessRule() {}

  /**
   * Returns whether the instance may begin to serve.
   *
   * @param adoption the state of its settings
   * @param known what it has heard in its present life
   */
  public static boolean isReady(RevisionAdoption adoption, KnownRevisions known) {
    if (adoption.accepted().equals(ManifestRef.NONE) || known.peersPending() > 0) {
      return false;
    }
    if (known.shownByService().isEmpty() && known.peersAnswered() == 0) {
      return false;
    }
    if (known.shownByService().isPresent() && !adoption.isSettled(known.shownByService().get())) {
      return false;
    }
    return !known.latestOfPeers().isAfter(adoption.accepted());
  }
}
