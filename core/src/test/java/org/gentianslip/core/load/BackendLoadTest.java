package org.gentianslip.core.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.limit.ColdRate;
import org.gentianslip.core.limit.StatedLimit;
import org.gentianslip.core.route.EngineProfile;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("The load of a backend server")
class BackendLoadTest {

  private static final long SECOND = 1_000_000_000L;

  private final BackendLoad load = new BackendLoad(6, null);

  private Reservation reserve(long now) {
    return load.reserve(now, false, RequestSize.UNKNOWN, estimate(now));
  }

  private BackendEstimate estimate(long now) {
    return load.estimate(now, false, RequestSize.UNKNOWN, Optional.empty());
  }

  private int running(long now) {
    return estimate(now).running();
  }

  @Test
  void countsRequestsUntilTheyEnd() {
    Reservation reservation = reserve(0);
    assertThat(running(0), is(1));
    reservation.succeeded(1);
    assertThat(running(0), is(0));
  }

  @Test
  void countsTheEndOfRequestsOnce() {
    Reservation reservation = reserve(0);
    reservation.succeeded(1);
    reservation.released();
    assertThat(running(0), is(0));
  }

  @Test
  void countsRequestsOfPeersUntilTheReportIsTooOld() {
    load.recordPeerLoad(LoadSource.instance(InstanceId.of("a")), new PeerLoad(4, 0, 0, 0));
    assertThat(running(SECOND), is(4));
    assertThat(running(2 * SECOND), is(0));
  }

  @Test
  void adjustsTheExpectedWaitWhenAnswersAreFaster() {
    var engine = new BackendLoad(64, new EngineProfile(64, 350_000, 7, 0, 0));
    var size = new RequestSize(List.of(new PromptPart("x", 50_000)), 10, 0);
    double firstMillis = 0;
    for (int i = 0; i < 40; i++) {
      BackendEstimate estimate = engine.estimate(0, false, size, Optional.empty());
      Reservation reservation = engine.reserve(0, false, size, estimate);
      var other = new RequestSize(List.of(new PromptPart("y" + i, 9_000)), 10, 0);
      firstMillis =
          i == 0 ? engine.estimate(0, false, other, Optional.empty()).waitMillis() : firstMillis;
      reservation.firstEventReceived((long) (estimate.totalMillis() * 500_000));
      reservation.released();
      size = new RequestSize(List.of(new PromptPart("x" + i, 50_000)), 10, 0);
    }
    engine.reserve(0, false, size, engine.estimate(0, false, size, Optional.empty()));
    var last = new RequestSize(List.of(new PromptPart("z", 9_000)), 10, 0);
    double lastMillis = engine.estimate(0, false, last, Optional.empty()).waitMillis();
    assertThat(lastMillis, is(lessThan(0.6 * firstMillis)));
  }

  /** Guards against work for backend servers that have said that they want none. */
  @Nested
  @DisplayName("that wants no work for some time")
  class Paused {

    private static final long STEP = SECOND / 100;

    private boolean accepts(long now) {
      return load.acceptsWork(now, () -> ColdRate.UNLIMITED);
    }

    /** Sends whatever is accepted in the time from and to, and returns how much it was. */
    private int sendAll(long from, long to) {
      int sent = 0;
      for (long now = from; now < to; now += STEP) {
        while (sent < 1_000 && accepts(now)) {
          reserve(now).succeeded(now);
          sent++;
        }
      }
      return sent;
    }

    @Test
    void acceptsNoneUntilThen() {
      load.pauseUntil(4 * SECOND);
      assertThat(sendAll(0, 4 * SECOND), is(0));
      assertThat(accepts(4 * SECOND), is(true));
    }

    @Test
    void keepsTheLatestEnd() {
      load.pauseUntil(4 * SECOND);
      load.pauseUntil(2 * SECOND);
      assertThat(load.pauseNanos(SECOND), is(3 * SECOND));
    }

    @Test
    void acceptsWorkInStepsAfterwards() {
      load.pauseUntil(4 * SECOND);
      assertThat(sendAll(4 * SECOND, 4 * SECOND + STEP), is(1));
      assertThat(sendAll(4 * SECOND, 5 * SECOND), is(lessThan(8)));
      assertThat(sendAll(5 * SECOND, 5 * SECOND + STEP), is(1_000));
    }

    @Test
    void acceptsWorkInStepsAfterEachPause() {
      load.pauseUntil(4 * SECOND);
      sendAll(4 * SECOND, 5 * SECOND);
      load.pauseUntil(9 * SECOND);
      assertThat(sendAll(9 * SECOND, 9 * SECOND + STEP), is(1));
    }
  }

  @Nested
  @DisplayName("that cannot be reached")
  class Unreachable {

    @Test
    void acceptsNoWorkDuringTheBackoff() {
      reserve(0).unreachable(0);
      assertThat(load.acceptsWork(SECOND / 10, () -> ColdRate.UNLIMITED), is(false));
      assertThat(load.acceptsWork(SECOND, () -> ColdRate.UNLIMITED), is(true));
    }

    @Test
    void reportsItsRecoveryOnce() {
      reserve(0).unreachable(0);
      assertThat(load.pollRecovered(), is(false));
      reserve(SECOND).succeeded(SECOND);
      assertThat(load.pollRecovered(), is(true));
      assertThat(load.pollRecovered(), is(false));
    }

    @Test
    void acceptsWorkAtTheColdRateUntilItAnswers() {
      reserve(0).unreachable(0);
      load.markColdUntil(5 * SECOND);
      reserve(SECOND);
      reserve(SECOND);
      assertThat(load.acceptsWork(SECOND, () -> 2), is(false));
    }
  }

  @Nested
  @DisplayName("that cannot be reached and that other instances are selected to try first")
  class LeftToOthers {

    @Test
    void acceptsNoWorkUntilAnotherInstanceHasReachedIt() {
      reserve(0).unreachable(0);
      assertThat(load.acceptsWork(SECOND, () -> 0), is(false));
      load.recordPeerLoad(LoadSource.restOfRegion(), new PeerLoad(1, 0, 0, SECOND));
      assertThat(load.acceptsWork(SECOND, () -> 0), is(false));
      assertThat(load.acceptsWork(4 * SECOND, () -> 0), is(true));
    }

    @Test
    void acceptsOneRequestPerSecondIfNobodyReachesIt() {
      reserve(0).unreachable(0);
      assertThat(load.acceptsWork(5 * SECOND, () -> 0), is(false));
      assertThat(load.acceptsWork(6 * SECOND, () -> 0), is(true));
      reserve(6 * SECOND);
      assertThat(load.acceptsWork(6 * SECOND, () -> 0), is(false));
    }
  }

  @Nested
  @DisplayName("to which a connection of another instance failed")
  class FailedForOthers {

    private Warmth warmthAfterFailure(long now, long failed) {
      load.recordFailureOfOthers(now, failed);
      return load.warmth(now);
    }

    @Test
    void mayHaveStartedAgain() {
      assertThat(warmthAfterFailure(SECOND, SECOND / 2), is(Warmth.UNCONFIRMED));
    }

    @Test
    void hasNotStartedAgainIfAnOlderConnectionAnswersLater() {
      load.recordContact(SECOND - 1, SECOND / 4);
      assertThat(warmthAfterFailure(SECOND, SECOND / 2), is(Warmth.WARM));
    }

    @Test
    void mayHaveStartedAgainIfOnlyNewerConnectionsAnswerLater() {
      load.recordContact(SECOND - 1, SECOND - 2);
      assertThat(warmthAfterFailure(SECOND, SECOND / 2), is(Warmth.UNCONFIRMED));
    }

    @Test
    void isJudgedOnceForEachFailure() {
      assertThat(warmthAfterFailure(SECOND, SECOND / 2), is(Warmth.UNCONFIRMED));
      load.recordContact(2 * SECOND, 2 * SECOND - 1);
      assertThat(load.pollRecovered(), is(true));
      assertThat(warmthAfterFailure(2 * SECOND + 1, SECOND / 2 + 1), is(Warmth.WARM));
    }

    @Test
    void isToldToOthersWhileItMayHaveStartedAgain() {
      load.recordFailureOfOthers(SECOND, SECOND / 2);
      assertThat(load.failedNanos(), is(OptionalLong.of(SECOND / 2)));
      load.recordContact(2 * SECOND, SECOND / 4);
      assertThat(load.failedNanos(), is(OptionalLong.empty()));
    }
  }

  @Nested
  @DisplayName("that returned before a failure was noticed")
  class ReturnedBeforeNotice {

    private static final long MILLI = 1_000_000L;

    /** An answer on a connection that was established after the return of the backend server. */
    private Warmth warmthAfterAnswerOfReturned() {
      load.recordContact(1_400 * MILLI, 1_200 * MILLI);
      return load.warmth(1_400 * MILLI);
    }

    @Test
    void isNotTakenForTheFormerStartAfterConnectTimeout() {
      Reservation connecting = reserve(950 * MILLI);
      connecting.unreachable(1_300 * MILLI);
      assertThat(warmthAfterAnswerOfReturned(), is(Warmth.UNCONFIRMED));
    }

    @Test
    void isNotTakenForTheFormerStartAfterSilence() {
      Reservation silent = reserve(950 * MILLI);
      silent.failed(1_300 * MILLI);
      load.suspectRestart(1_300 * MILLI, 950 * MILLI);
      assertThat(warmthAfterAnswerOfReturned(), is(Warmth.UNCONFIRMED));
    }
  }

  @Nested
  @DisplayName("whose failure is told back by the instance that was told")
  class ToldBack {

    private static final long MILLI = 1_000_000L;
    private static final long DELAY = 5 * MILLI;

    private final BackendLoad other = new BackendLoad(6, null);

    private void tell(long now, BackendLoad from, BackendLoad to) {
      from.failedNanos()
          .ifPresent(f -> to.recordFailureOfOthers(now + DELAY, now + DELAY - (now - f)));
    }

    @Test
    void keepsTheTimeOfItsFailure() {
      reserve(SECOND).unreachable(SECOND);
      for (long now = SECOND + 50 * MILLI; now < 2 * SECOND; now += 100 * MILLI) {
        tell(now, load, other);
        tell(now + 50 * MILLI, other, load);
      }
      assertThat(load.failedNanos(), is(OptionalLong.of(SECOND)));
    }

    @Test
    void isJudgedOnceAlthoughMessagesTakeTime() {
      reserve(SECOND).unreachable(SECOND);
      tell(SECOND + MILLI, load, other);
      load.recordContact(SECOND + 2 * MILLI, SECOND + MILLI);
      reserve(SECOND + MILLI).succeeded(SECOND + 2 * MILLI);
      assertThat(load.pollRecovered(), is(true));
      tell(SECOND + 10 * MILLI, other, load);
      assertThat(load.warmth(SECOND + 20 * MILLI), is(Warmth.WARM));
    }
  }

  @Nested
  @DisplayName("that is cold")
  class Cold {

    @Test
    void acceptsAtMostTheColdRateInEverySecond() {
      load.markColdUntil(10 * SECOND);
      int sent = 0;
      for (long now = 0; now < SECOND; now += SECOND / 100) {
        if (load.acceptsWork(now, () -> 5)) {
          reserve(now);
          sent++;
        }
      }
      assertThat(sent, is(5));
      assertThat(load.acceptsWork(SECOND, () -> 5), is(true));
    }

    @Test
    void acceptsAllWorkOnceItIsWarm() {
      load.markColdUntil(SECOND);
      for (int i = 0; i < 6; i++) {
        reserve(0);
      }
      assertThat(load.acceptsWork(SECOND, () -> 5), is(true));
    }
  }

  @Nested
  @DisplayName("with a limit that the backend server has named")
  class NamedLimit {

    private boolean isWithinLimit(long now) {
      return load.isWithinLimit(now, perSecond -> (long) (SECOND / perSecond));
    }

    @Test
    void allowsOneRequestInEachInterval() {
      load.applyLimit(new StatedLimit(2, 0));
      assertThat(isWithinLimit(0), is(true));
      reserve(0);
      assertThat(isWithinLimit(SECOND / 4), is(false));
      assertThat(isWithinLimit(SECOND / 2), is(true));
    }

    @Test
    void allowsNothingToInstancesThatAreNotSelected() {
      load.applyLimit(new StatedLimit(2, 0));
      assertThat(load.isWithinLimit(SECOND, perSecond -> Long.MAX_VALUE), is(false));
    }

    @Test
    void endsWithAnAnswerToLaterRequests() {
      load.applyLimit(new StatedLimit(2, SECOND));
      reserve(SECOND);
      assertThat(load.endLimit(SECOND - 1, SECOND + 1), is(false));
      assertThat(isWithinLimit(SECOND + 1), is(false));
      assertThat(load.endLimit(SECOND, SECOND + 2), is(true));
      assertThat(isWithinLimit(SECOND + 2), is(true));
    }

    @Test
    void ignoresOlderStatements() {
      load.applyLimit(new StatedLimit(2, SECOND));
      load.applyLimit(StatedLimit.none(SECOND - 1));
      assertThat(load.limit().get().isLimited(), is(true));
    }
  }
}
