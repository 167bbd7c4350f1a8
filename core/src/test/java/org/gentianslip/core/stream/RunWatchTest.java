package org.gentianslip.core.stream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.concurrent.TimeUnit;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.published.Backend;
import org.gentianslip.core.stream.RunStep.Action;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against two runs of one stream at a time, and against streams kept by hung engines. */
@DisplayName("The watch of a run")
class RunWatchTest {

  private static final long SILENCE_MILLIS = 1_500;
  private static final long CALL_MILLIS = 300;
  private static final long DEADLINE_MILLIS = 10_000;
  private static final double ATTEMPT_MILLIS = 1_000;
  private static final long LONG_AGO_MILLIS = -60_000;

  private final RunWatch watch = RunWatch.ofSilent();
  private long nowMillis = SILENCE_MILLIS;
  private long heardMillis = LONG_AGO_MILLIS;
  private long writtenMillis = LONG_AGO_MILLIS;
  private boolean callKnown;

  private RunStep next(RunWatch target, RunEvidence evidence, double attemptMillis) {
    var facts =
        new RunFacts(
            TimeUnit.MILLISECONDS.toNanos(heardMillis),
            TimeUnit.MILLISECONDS.toNanos(writtenMillis),
            callKnown,
            DEADLINE_MILLIS - nowMillis,
            attemptMillis,
            SILENCE_MILLIS);
    return target.next(TimeUnit.MILLISECONDS.toNanos(nowMillis), evidence, facts);
  }

  private RunStep next(RunEvidence evidence) {
    return next(watch, evidence, ATTEMPT_MILLIS);
  }

  /** Returns when the engine is given up if each call gets the same result. */
  private long millisUntil(Action action, RunEvidence evidence) {
    while (nowMillis < DEADLINE_MILLIS) {
      nowMillis += evidence.isSignOfLife() ? 1 : CALL_MILLIS;
      RunStep step = next(evidence);
      if (step.action() == action) {
        return nowMillis;
      }
      nowMillis += step.delayMillis();
    }
    return nowMillis;
  }

  @Test
  void staysWithAnEngineThatListsItUntilOneMoreAttemptJustFits() {
    long millis = millisUntil(Action.RELEASE, RunEvidence.LISTED);
    assertThat(DEADLINE_MILLIS - millis >= ATTEMPT_MILLIS, is(true));
    assertThat(DEADLINE_MILLIS - millis, is(lessThanOrEqualTo(1_900L)));
  }

  @Test
  void doesNotMoveWhileTheReleasedRunIsListed() {
    next(RunEvidence.NOT_LISTED);
    for (int i = 0; i < 100; i++) {
      assertThat(next(RunEvidence.LISTED).action(), is(Action.ASK_AGAIN));
    }
    assertThat(next(RunEvidence.NOT_LISTED).action(), is(Action.MOVE));
  }

  @Test
  void asksOnceMoreIfTheRunIsNotListed() {
    RunStep step = next(RunEvidence.NOT_LISTED);
    assertThat(step.action(), is(Action.RELEASE));
    assertThat(step.delayMillis(), is(RunWatch.REPORT_AGE_MILLIS));
  }

  @Test
  void neverLeavesAnEngineThatIsAliveWithoutTheCall() {
    assertThat(millisUntil(Action.MOVE, RunEvidence.NO_REPORT) >= DEADLINE_MILLIS, is(true));
  }

  @Test
  void leavesAnEngineThatOnlySendsPartsOfAnEvent() {
    writtenMillis = nowMillis - 50;
    assertThat(next(RunEvidence.NO_REPORT).action(), is(Action.MOVE));
  }

  @Test
  void leavesHungEngineAfterTwoCallsIfTheCallIsKnown() {
    callKnown = true;
    assertThat(
        millisUntil(Action.MOVE, RunEvidence.NO_ANSWER), is(SILENCE_MILLIS + 2 * CALL_MILLIS));
  }

  @ParameterizedTest
  @EnumSource(names = {"NO_ANSWER", "NO_CALL"})
  void leavesSilentEngineInTimeIfTheCallIsNotKnown(RunEvidence evidence) {
    long millis = millisUntil(Action.MOVE, evidence);
    assertThat(millis >= DEADLINE_MILLIS / 2, is(true));
    assertThat(DEADLINE_MILLIS - millis >= ATTEMPT_MILLIS, is(true));
  }

  @ParameterizedTest
  @EnumSource(names = {"NO_ANSWER", "UNREACHABLE"})
  void staysWithAnEngineThatSendsOtherEvents(RunEvidence evidence) {
    callKnown = true;
    for (int i = 0; i < 10; i++) {
      heardMillis = nowMillis - 500;
      assertThat(next(evidence).action(), is(Action.ASK_AGAIN));
    }
  }

  @Test
  void leavesAnUnreachableEngineAfterTwoAttempts() {
    assertThat(
        millisUntil(Action.MOVE, RunEvidence.UNREACHABLE), is(SILENCE_MILLIS + 2 * CALL_MILLIS));
  }

  @Test
  void leavesTheAddressOfAnotherServerAtOnce() {
    heardMillis = nowMillis - 100;
    assertThat(next(RunEvidence.OTHER_SERVER).action(), is(Action.MOVE));
  }

  @Test
  void doesNotAwaitTheEndOfReleasedRunIfAnotherServerHasTheAddress() {
    next(RunEvidence.NOT_LISTED);
    assertThat(next(RunEvidence.OTHER_SERVER).action(), is(Action.MOVE));
  }

  @Test
  void forgetsAnUnansweredCallWithTheNextAnswer() {
    callKnown = true;
    next(RunEvidence.NO_ANSWER);
    next(RunEvidence.LISTED);
    assertThat(next(RunEvidence.NO_ANSWER).action(), is(Action.ASK_AGAIN));
  }

  @ParameterizedTest
  @EnumSource(RunEvidence.class)
  void keepsTheConnectionIfNothingElseIsPossible(RunEvidence evidence) {
    callKnown = true;
    for (int i = 0; i < 5; i++) {
      assertThat(next(watch, evidence, -1).action(), is(Action.ASK_AGAIN));
    }
  }

  @ParameterizedTest
  @EnumSource(RunEvidence.class)
  void waitsForBrokenRunOnlyWhileItIsListed(RunEvidence evidence) {
    Action expected = evidence == RunEvidence.LISTED ? Action.ASK_AGAIN : Action.MOVE;
    assertThat(next(RunWatch.ofBroken(), evidence, ATTEMPT_MILLIS).action(), is(expected));
  }

  @Test
  void movesReleasedRunOfHungEngine() {
    next(RunEvidence.NOT_LISTED);
    next(RunEvidence.NO_ANSWER);
    assertThat(next(RunEvidence.NO_ANSWER).action(), is(Action.MOVE));
  }

  @Test
  void takesOneReportAsProofOfTheCall() {
    var contacts = new EngineContacts();
    ServiceId farm = ServiceId.of("farm");
    contacts.recordEvidence(0, engine("i-1", 1), RunEvidence.NO_ANSWER);
    assertThat(contacts.hasAnswered(farm), is(false));
    contacts.recordEvidence(0, engine("i-1", 1), RunEvidence.NOT_LISTED);
    contacts.recordEvidence(0, engine("i-2", 1), RunEvidence.NO_REPORT);
    assertThat(contacts.answersCalls(farm), is(true));
  }

  private static Backend engine(String id, long startedMillis) {
    return new Backend(
        EngineId.of(id),
        ServiceId.of("farm"),
        "10.0.0.1:80",
        DataCentreId.of("north-a"),
        6,
        false,
        0,
        startedMillis);
  }

  @Test
  void knowsOfAnotherServerUntilTheEngineIsHeard() {
    var contacts = new EngineContacts();
    contacts.recordOtherServer(1, engine("i-1", 1));
    assertThat(contacts.isDisplaced(2, engine("i-1", 1)), is(true));
    assertThat("a later start", contacts.isDisplaced(2, engine("i-1", 2)), is(false));
    contacts.recordEvidence(3, engine("i-1", 1), RunEvidence.LISTED);
    assertThat(contacts.isDisplaced(4, engine("i-1", 1)), is(false));
  }

  /** Guards against memory that grows with each server that has left its address. */
  @Test
  void forgetsOtherServersBeyondTheBound() {
    var contacts = new EngineContacts();
    for (int i = 0; i <= EngineContacts.MAX_ENGINES + 1; i++) {
      contacts.recordOtherServer(1, engine("i-" + i, 1));
    }
    assertThat(contacts.isDisplaced(2, engine("i-0", 1)), is(false));
  }
}
