package org.gentianslip.core.revision;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.gentianslip.core.id.Revision;
import org.junit.jupiter.api.Test;

class ReadinessRuleTest {

  private static final ManifestRef FIVE = new ManifestRef(Revision.of(5), "a");
  private static final ManifestRef SIX = new ManifestRef(Revision.of(6), "a");
  private final RevisionAdoption withFive =
      RevisionAdoption.initial().on(0, new RevisionEvent.Validated(FIVE)).next();

  private static boolean isReady(
      RevisionAdoption adoption, ManifestRef service, int answered, int pending, ManifestRef peer) {
    return ReadinessRule.isReady(
        adoption, new KnownRevisions(Optional.ofNullable(service), answered, pending, peer));
  }

  @Test
  void isReadyWithTheStateOfTheService() {
    assertThat(isReady(withFive, FIVE, 0, 0, ManifestRef.NONE), is(true));
  }

  @Test
  void isReadyWithTheStateOfPeersWhileTheServiceIsDown() {
    assertThat(isReady(withFive, null, 1, 0, FIVE), is(true));
  }

  @Test
  void isNotReadyWithoutServiceAndPeers() {
    assertThat(isReady(withFive, null, 0, 0, ManifestRef.NONE), is(false));
  }

  @Test
  void isNotReadyWithoutSettings() {
    assertThat(
        isReady(RevisionAdoption.initial(), ManifestRef.NONE, 3, 0, ManifestRef.NONE), is(false));
  }

  @Test
  void isNotReadyWhileAnswersOfPeersArePending() {
    assertThat(isReady(withFive, FIVE, 1, 1, FIVE), is(false));
  }

  @Test
  void isNotReadyWhenPeersHaveLaterStatesThanTheService() {
    assertThat(isReady(withFive, FIVE, 1, 0, SIX), is(false));
  }

  @Test
  void isNotReadyWhenTheServiceHasLaterStates() {
    assertThat(isReady(withFive, SIX, 1, 0, FIVE), is(false));
  }

  @Test
  void isReadyWhenTheLaterStateOfTheServiceIsInvalid() {
    RevisionAdoption rejected = withFive.on(0, new RevisionEvent.Rejected(SIX)).next();
    assertThat(isReady(rejected, SIX, 1, 0, FIVE), is(true));
  }
}
