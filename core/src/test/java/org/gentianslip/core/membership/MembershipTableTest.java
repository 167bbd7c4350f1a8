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
  private static final InstanceInfo SELF = MemberWorld.infoOf("home", "self");
  private static final InstanceInfo PEER = MemberWorld.infoOf("home", "peer");
  private static final InstanceInfo FAR = MemberWorld.infoOf("far", "far-1");
  private static final Incarnation FIRST = Incarnation.of(1);
  private static final Incarnation SECOND_LIFE = Incarnation.of(2);

  private final MembershipTable empty = MembershipTable.of(SELF, MembershipTimeouts.of(SECOND, 1));
  private final MembershipTable heard = empty.withAnswer(0, heartbeat(PEER, FIRST, 1, false));

  private static Heartbeat heartbeat(
      InstanceInfo info, Incarnation life, long beat, boolean leaving) {
    return new Heartbeat(info, life, beat, leaving, 0.25);
  }

  private static Hint hint(Incarnation life, long beat, Hint.Kind kind) {
    return new Hint(PEER.id(), life, beat, kind);
  }

  private static List<ListedInstance> list(Listing listing, InstanceInfo... infos) {
    return List.of(infos).stream().map(i -> new ListedInstance(i, listing)).toList();
  }

  private static InstanceState peer(MembershipTable table, long nowNanos) {
    return table.stateOf(nowNanos, PEER.id());
  }

  @Nested
  class OfThePublishedList {

    @Test
    void believesTheListAtFirst() {
      assertThat(peer(empty.withList(0, 1, list(Listing.LIVE, PEER)), 1), is(InstanceState.LIVE));
    }

    @Test
    void ignoresAnOlderList() {
      MembershipTable newer = empty.withList(0, 2, list(Listing.LEAVING, PEER));
      assertThat(newer.withList(0, 1, list(Listing.LIVE, PEER)), is(sameInstance(newer)));
    }

    @Test
    void neverHoldsItself() {
      MembershipTable table = empty.withList(0, 1, list(Listing.LIVE, SELF));
      assertThat(table.member(SELF.id()), is(Optional.empty()));
    }

    @Test
    void keepsWhatItHeardWhenTheListLags() {
      MembershipTable table = heard.withList(1, 1, list(Listing.LIVE, FAR));
      assertThat(peer(table, 2), is(InstanceState.LIVE));
    }

    @Test
    void believesListedLeavingMark() {
      MembershipTable table = heard.withList(1, 1, list(Listing.LEAVING, PEER));
      assertThat(peer(table, 2), is(InstanceState.LEAVING));
    }

    @Test
    void forgetsAnUnlistedInstanceAfterLongSilence() {
      MembershipTable table = heard.withList(61 * SECOND, 1, list(Listing.LIVE, FAR));
      assertThat(table.member(PEER.id()), is(Optional.empty()));
    }
  }

  @Nested
  class OfLives {

    @Test
    void takesTheLifeThatAnswers() {
      MembershipTable table = heard.withAnswer(1, heartbeat(PEER, SECOND_LIFE, 0, false));
      assertThat(table.member(PEER.id()).orElseThrow().isIn(SECOND_LIFE), is(true));
    }

    @Test
    void ignoresTheCallOfAnotherLife() {
      MembershipTable table = heard.withCall(1, heartbeat(PEER, SECOND_LIFE, 9, true));
      assertThat(table, is(sameInstance(heard)));
    }

    @Test
    void ignoresHintAboutAnotherLife() {
      MembershipTable table = heard.withHints(1, List.of(hint(SECOND_LIFE, 9, Hint.Kind.LEAVING)));
      assertThat(peer(table, 2), is(InstanceState.LIVE));
    }

    @Test
    void keepsLeavingMarkForTheRestOfTheLife() {
      MembershipTable left = heard.withHints(1, List.of(hint(FIRST, 1, Hint.Kind.LEAVING)));
      MembershipTable table = left.withAnswer(2, heartbeat(PEER, FIRST, 2, false));
      assertThat(peer(table, 3), is(InstanceState.LEAVING));
    }

    @Test
    void dropsLeavingMarkWithTheNextLife() {
      MembershipTable left = heard.withHints(1, List.of(hint(FIRST, 1, Hint.Kind.LEAVING)));
      MembershipTable table = left.withAnswer(2, heartbeat(PEER, SECOND_LIFE, 0, false));
      assertThat(peer(table, 3), is(InstanceState.LIVE));
    }
  }

  @Nested
  class OfSilence {

    @Test
    void silencesPeerWithoutAnySign() {
      assertThat(peer(heard, 4 * SECOND), is(InstanceState.LIVE));
      assertThat(peer(heard, 4 * SECOND + 1), is(InstanceState.SILENT));
    }

    @Test
    void keepsPeerOfAnotherRegionWithoutSign() {
      MembershipTable table = empty.withAnswer(0, heartbeat(FAR, FIRST, 1, false));
      assertThat(table.stateOf(30 * SECOND, FAR.id()), is(InstanceState.LIVE));
    }

    @Test
    void silencesDoubtedPeerSooner() {
      MembershipTable table = heard.withHints(1, List.of(hint(FIRST, 1, Hint.Kind.SILENT)));
      assertThat(peer(table, SECOND), is(InstanceState.LIVE));
      assertThat(peer(table, 2 * SECOND), is(InstanceState.SILENT));
    }

    @Test
    void endsDoubtWithLaterBeat() {
      MembershipTable doubted = heard.withHints(1, List.of(hint(FIRST, 1, Hint.Kind.SILENT)));
      MembershipTable table = doubted.withHints(2, List.of(hint(FIRST, 2, Hint.Kind.HEARD)));
      assertThat(peer(table, 2 * SECOND), is(InstanceState.LIVE));
    }

    @Test
    void doesNotReachPeerThatDidNotAnswer() {
      MembershipTable table = heard.withoutAnswer(1, PEER.id());
      assertThat(table.isReachable(1, PEER.id()), is(false));
      assertThat(heard.isReachable(1, PEER.id()), is(true));
    }

    @Test
    void trustsNothingAfterPause() {
      assertThat(peer(heard.withPause(1), 2), is(InstanceState.SILENT));
    }

    @Test
    void trustsPeerAgainOnceItAnswersAfterPause() {
      MembershipTable table = heard.withPause(1).withAnswer(2, heartbeat(PEER, FIRST, 2, false));
      assertThat(peer(table, 3), is(InstanceState.LIVE));
    }

    @Test
    void trustsThePublishedListOfAnotherRegionOnlyOnceItWasReadAgainAfterPause() {
      MembershipTable table = empty.withList(0, 1, list(Listing.LIVE, FAR)).withPause(5);
      assertThat(table.stateOf(6, FAR.id()), is(InstanceState.SILENT));
      MembershipTable again = table.withList(7, 1, list(Listing.LIVE, FAR));
      assertThat(again.stateOf(8, FAR.id()), is(InstanceState.LIVE));
    }
  }

  @Test
  void tellsLeavingLivesFirstAndTheLastHeardNext() {
    MembershipTable table = heard;
    for (int i = 0; i < 3; i++) {
      InstanceInfo info = MemberWorld.infoOf("home", "n" + i);
      table = table.withAnswer(10 + i, heartbeat(info, FIRST, 1, i == 0));
    }
    List<InstanceId> told = table.hints(20, 2).stream().map(Hint::id).toList();
    assertThat(told, contains(InstanceId.of("n0"), InstanceId.of("n2")));
  }
}
