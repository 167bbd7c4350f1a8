package org.gentianslip.core.revision;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.Revision;
import org.gentianslip.core.revision.RevisionDecision.Reason;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RevisionAdoptionTest {

  private static final InstanceId PEER = InstanceId.of("peer");
  private RevisionAdoption adoption = RevisionAdoption.initial();
  private boolean conflict;

  private static ManifestRef ref(long revision, String hash) {
    return new ManifestRef(Revision.of(revision), hash);
  }

  private RevisionDecision on(long nowNanos, RevisionEvent event) {
    RevisionStep step = adoption.on(nowNanos, event);
    adoption = step.next();
    conflict = step.conflict();
    return step.decision();
  }

  private RevisionDecision service(ManifestRef ref) {
    return on(0, new RevisionEvent.ServiceAnnounced(ref));
  }

  private RevisionDecision peer(ManifestRef ref) {
    return on(0, new RevisionEvent.PeerAnnounced(PEER, ref));
  }

  private static RevisionDecision ignore(Reason reason) {
    return new RevisionDecision.Ignore(reason);
  }

  @Nested
  class WithRevisionFiveInForce {

    private final ManifestRef five = ref(5, "b");

    WithRevisionFiveInForce() {
      on(0, new RevisionEvent.Validated(five));
    }

    @Test
    void fetchesLaterOneFromTheService() {
      ManifestRef six = ref(6, "a");
      assertThat(service(six), is(new RevisionDecision.FetchFromService(six)));
    }

    @Test
    void pullsLaterOneFromPeer() {
      ManifestRef six = ref(6, "a");
      assertThat(peer(six), is(new RevisionDecision.PullFromPeer(PEER, six)));
    }

    @Test
    void ignoresTheSame() {
      assertThat(service(five), is(ignore(Reason.IN_FORCE)));
    }

    @Test
    void ignoresEarlierOneOfRestoredService() {
      assertThat(service(ref(4, "z")), is(ignore(Reason.OLDER)));
    }

    @Test
    void doesNotAdoptEarlierOneThatCameLate() {
      assertThat(on(0, new RevisionEvent.Validated(ref(4, "z"))), is(ignore(Reason.OLDER)));
      assertThat(adoption.accepted(), is(five));
    }

    @Test
    void reportsSecondContentOfTheSameRevision() {
      service(ref(5, "a"));
      assertThat(conflict, is(true));
    }

    @Test
    void prefersTheGreaterHashOfTheSameRevision() {
      assertThat(service(ref(5, "a")), is(ignore(Reason.OLDER)));
      ManifestRef greater = ref(5, "c");
      assertThat(service(greater), is(new RevisionDecision.FetchFromService(greater)));
    }

    @Test
    void reportsNoConflictWithTheSameContent() {
      service(five);
      assertThat(conflict, is(false));
    }
  }

  @Nested
  class WithAnInvalidRevision {

    private final ManifestRef invalid = ref(6, "x");

    @Test
    void doesNotFetchItAgain() {
      on(0, new RevisionEvent.Rejected(invalid));
      assertThat(service(invalid), is(ignore(Reason.REJECTED)));
    }

    @Test
    void remembersOnlyTheLatest() {
      for (int i = 1; i <= RevisionAdoption.REJECTED_KEPT + 5; i++) {
        on(0, new RevisionEvent.Rejected(ref(i, "x")));
      }
      assertThat(adoption.rejected(), hasSize(RevisionAdoption.REJECTED_KEPT));
    }
  }

  @Nested
  class WhileFetching {

    private final ManifestRef six = ref(6, "a");

    WhileFetching() {
      service(six);
    }

    @Test
    void doesNotFetchTwice() {
      assertThat(peer(six), is(ignore(Reason.BEING_FETCHED)));
    }

    @Test
    void triesAgainAfterTheTimeout() {
      RevisionDecision decision =
          on(RevisionAdoption.FETCH_TIMEOUT_NANOS, new RevisionEvent.PeerAnnounced(PEER, six));
      assertThat(decision, is(new RevisionDecision.PullFromPeer(PEER, six)));
    }

    @Test
    void triesAgainAtOnceAfterTheFetchFailed() {
      on(0, new RevisionEvent.FetchFailed(six));
      assertThat(peer(six), is(new RevisionDecision.PullFromPeer(PEER, six)));
    }

    @Test
    void fetchesLaterOneAtOnce() {
      ManifestRef seven = ref(7, "a");
      assertThat(peer(seven), is(new RevisionDecision.PullFromPeer(PEER, seven)));
    }
  }
}
