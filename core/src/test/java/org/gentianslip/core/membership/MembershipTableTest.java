package org.gentianslip.core.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.sameInstance;

import java.util.List;
import java.util.Optional;
import org.gentianslip.core.id.Incarnation;
import org.gentianslip.core.id.InstanceId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class MembershipTableTest {

  private static final long SECOND = 1_000_000_000L;
  private static final InstanceInfo SELF = MembershipSimulation.infoOf("home", "self");
  private static final InstanceInfo PEER = MembershipSimulation.infoOf("home", "peer");
  private static final InstanceInfo FAR = MembershipSimulation.infoOf("far", "far-1");
  private static final Incarnation FIRST_INCARNATION = Incarnation.of(1);
  private static final Incarnation SECOND_INCARNATION = Incarnation.of(2);

  private final MembershipTable empty = MembershipTable.of(SELF, MembershipTimeouts.of(SECOND, 1));
  private final MembershipTable afterAnswer =
      empty.withHelloAnswer(0, heartbeat(PEER, FIRST_INCARNATION, 1, false));

  private static Heartbeat heartbeat(
      InstanceInfo info, Incarnation incarnation, long beat, boolean leaving) {
    return new Heartbeat(info, incarnation, beat, leaving, 0.25);
  }

  private static Hint hint(Incarnation incarnation, long beat, Hint.Kind kind) {
    return new Hint(PEER.id(), incarnation, beat, kind);
  }

  private static List<ListedInstance> list(Listing listing, InstanceInfo... infos) {
    return List.of(infos).stream().map(i -> new ListedInstance(i, listing)).toList();
  }

  private static InstanceState stateOfPeer(MembershipTable table, long nowNanos) {
    return table.stateOf(nowNanos, PEER.id());
  }

  @Nested
  class WithThePublishedList {

    @Test
    void believesTheListBeforeTheFirstAnswer() {
      assertThat(
          stateOfPeer(empty.withList(0, 1, list(Listing.LIVE, PEER)), 1), is(InstanceState.LIVE));
    }

    @Test
    void ignoresAnOlderList() {
      MembershipTable newer = empty.withList(0, 2, list(Listing.LEAVING, PEER));
      assertThat(newer.withList(0, 1, list(Listing.LIVE, PEER)), is(sameInstance(newer)));
    }

    @Test
    void neverContainsItself() {
      MembershipTable table = empty.withList(0, 1, list(Listing.LIVE, SELF));
      assertThat(table.member(SELF.id()), is(Optional.empty()));
    }

    @Test
    void keepsKnownPeersWhenTheListLags() {
      MembershipTable table = afterAnswer.withList(1, 1, list(Listing.LIVE, FAR));
      assertThat(stateOfPeer(table, 2), is(InstanceState.LIVE));
    }

    @Test
    void countsInstancesThatAreListedAsLeavingAsLeaving() {
      MembershipTable table = afterAnswer.withList(1, 1, list(Listing.LEAVING, PEER));
      assertThat(stateOfPeer(table, 2), is(InstanceState.LEAVING));
    }

    @Test
    void forgetsAnUnlistedInstanceAfterLongSilence() {
      MembershipTable table = afterAnswer.withList(61 * SECOND, 1, list(Listing.LIVE, FAR));
      assertThat(table.member(PEER.id()), is(Optional.empty()));
    }
  }

  @Nested
  class WithIncarnations {

    @Test
    void adoptsTheIncarnationThatAnswers() {
      MembershipTable table =
          afterAnswer.withHelloAnswer(1, heartbeat(PEER, SECOND_INCARNATION, 0, false));
      assertThat(
          table.member(PEER.id()).orElseThrow().hasIncarnation(SECOND_INCARNATION), is(true));
    }

    @Test
    void ignoresHellosOfAnotherIncarnation() {
      MembershipTable table =
          afterAnswer.withHello(1, heartbeat(PEER, SECOND_INCARNATION, 9, true));
      assertThat(table, is(sameInstance(afterAnswer)));
    }

    @Test
    void ignoresHintsAboutAnotherIncarnation() {
      MembershipTable table =
          afterAnswer.withHints(1, List.of(hint(SECOND_INCARNATION, 9, Hint.Kind.LEAVING)));
      assertThat(stateOfPeer(table, 2), is(InstanceState.LIVE));
    }

    @Test
    void keepsTheLeavingStateWithinAnIncarnation() {
      MembershipTable leaving =
          afterAnswer.withHints(1, List.of(hint(FIRST_INCARNATION, 1, Hint.Kind.LEAVING)));
      MembershipTable table =
          leaving.withHelloAnswer(2, heartbeat(PEER, FIRST_INCARNATION, 2, false));
      assertThat(stateOfPeer(table, 3), is(InstanceState.LEAVING));
    }

    @Test
    void dropsTheLeavingStateWithTheNextIncarnation() {
      MembershipTable leaving =
          afterAnswer.withHints(1, List.of(hint(FIRST_INCARNATION, 1, Hint.Kind.LEAVING)));
      MembershipTable table =
          leaving.withHelloAnswer(2, heartbeat(PEER, SECOND_INCARNATION, 0, false));
      assertThat(stateOfPeer(table, 3), is(InstanceState.LIVE));
    }
  }

  @Nested
  class WithSilence {

    @Test
    void countsPeersWithoutSignsOfLifeAsSilent() {
      assertThat(stateOfPeer(afterAnswer, 4 * SECOND), is(InstanceState.LIVE));
      assertThat(stateOfPeer(afterAnswer, 4 * SECOND + 1), is(InstanceState.SILENT));
    }

    @Test
    void countsPeersOfAnotherRegionAsLiveWithoutSignsOfLife() {
      MembershipTable table = empty.withHelloAnswer(0, heartbeat(FAR, FIRST_INCARNATION, 1, false));
      assertThat(table.stateOf(30 * SECOND, FAR.id()), is(InstanceState.LIVE));
    }

    @Test
    void countsSuspectedPeersAsSilentSooner() {
      MembershipTable table =
          afterAnswer.withHints(1, List.of(hint(FIRST_INCARNATION, 1, Hint.Kind.SILENT)));
      assertThat(stateOfPeer(table, SECOND), is(InstanceState.LIVE));
      assertThat(stateOfPeer(table, 2 * SECOND), is(InstanceState.SILENT));
    }

    @Test
    void endsTheSuspicionOnLaterBeats() {
      MembershipTable suspected =
          afterAnswer.withHints(1, List.of(hint(FIRST_INCARNATION, 1, Hint.Kind.SILENT)));
      MembershipTable table =
          suspected.withHints(2, List.of(hint(FIRST_INCARNATION, 2, Hint.Kind.HEARD)));
      assertThat(stateOfPeer(table, 2 * SECOND), is(InstanceState.LIVE));
    }

    @Test
    void cannotReachPeersThatDidNotAnswer() {
      MembershipTable table = afterAnswer.withFailedHello(1, PEER.id());
      assertThat(table.isReachable(1, PEER.id()), is(false));
      assertThat(afterAnswer.isReachable(1, PEER.id()), is(true));
    }

    @Test
    void countsAllPeersAsSilentAfterPauses() {
      assertThat(stateOfPeer(afterAnswer.withPause(1), 2), is(InstanceState.SILENT));
    }

    @Test
    void countsPeersAsLiveOnceTheyAnswerAfterPauses() {
      MembershipTable table =
          afterAnswer.withPause(1).withHelloAnswer(2, heartbeat(PEER, FIRST_INCARNATION, 2, false));
      assertThat(stateOfPeer(table, 3), is(InstanceState.LIVE));
    }

    @Test
    void trustsThePublishedListOfAnotherRegionOnlyOnceItWasReadAgainAfterPauses() {
      MembershipTable table = empty.withList(0, 1, list(Listing.LIVE, FAR)).withPause(5);
      assertThat(table.stateOf(6, FAR.id()), is(InstanceState.SILENT));
      MembershipTable again = table.withList(7, 1, list(Listing.LIVE, FAR));
      assertThat(again.stateOf(8, FAR.id()), is(InstanceState.LIVE));
    }
  }

  @Test
  void returnsHintsAboutLeavingInstancesFirstAndThenAboutTheMostRecentlySeen() {
    MembershipTable table = afterAnswer;
    for (int i = 0; i < 3; i++) {
      InstanceInfo info = MembershipSimulation.infoOf("home", "n" + i);
      table = table.withHelloAnswer(10 + i, heartbeat(info, FIRST_INCARNATION, 1, i == 0));
    }
    List<InstanceId> hinted = table.hints(20, 2).stream().map(Hint::id).toList();
    assertThat(hinted, contains(InstanceId.of("n0"), InstanceId.of("n2")));
  }
}
