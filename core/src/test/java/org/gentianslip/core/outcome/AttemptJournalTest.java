package org.gentianslip.core.outcome;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tuple;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AttemptJournalTest {

  private final AttemptJournal journal = new AttemptJournal();

  private static Outcome notRun(NotRunReason reason) {
    return new Outcome.NotRun(reason);
  }

  private static Outcome unknown(UnknownReason reason) {
    return new Outcome.Unknown(reason);
  }

  @Nested
  class BeforeTheWrite {

    @Test
    void hasNotRun() {
      assertThat(journal.close(), is(notRun(NotRunReason.NOT_WRITTEN)));
    }

    @Test
    void refusesTheWriteOnceClosed() {
      journal.close();
      assertThat(journal.beginWrite(0, 9), is(false));
    }

    @Test
    void refusesTheWriteAfterTheExpiry() {
      assertThat(journal.beginWrite(9, 9), is(false));
      assertThat(journal.close(), is(notRun(NotRunReason.EXPIRED_BEFORE_WRITE)));
    }

    @Test
    void refusesTheWriteForThreadsWithAnOlderTime() {
      journal.beginWrite(9, 9);
      assertThat(journal.beginWrite(0, 9), is(false));
    }
  }

  @Nested
  class AfterTheWriteBegan {

    private void begin() {
      assertThat(journal.beginWrite(0, 9), is(true));
    }

    @Test
    void refusesAnotherWrite() {
      begin();
      assertThat(journal.beginWrite(0, 9), is(false));
    }

    @Test
    void isUnknownWithoutAnAnswer() {
      begin();
      assertThat(journal.close(), is(unknown(UnknownReason.NO_ANSWER)));
    }

    @Test
    void staysUnknownWhenLaterWritesAreTooLate() {
      begin();
      journal.beginWrite(9, 9);
      assertThat(journal.close(), is(unknown(UnknownReason.NO_ANSWER)));
    }

    @Test
    void hasNotRunWithTheDocumentedRefusal() {
      begin();
      journal.headersRead(503, true);
      assertThat(journal.close(), is(notRun(NotRunReason.REFUSED_BEFORE_START)));
    }

    @Test
    void isUnknownWithUndocumentedRefusals() {
      begin();
      journal.headersRead(503, false);
      journal.answerCompleted();
      assertThat(journal.close(), is(unknown(UnknownReason.BACKEND_ERROR)));
    }

    @Test
    void isUnknownWithTruncatedAnswers() {
      begin();
      journal.headersRead(200, false);
      assertThat(journal.close(), is(unknown(UnknownReason.INCOMPLETE_ANSWER)));
    }

    @Test
    void isCompletedWithCompleteAnswers() {
      begin();
      journal.headersRead(200, false);
      journal.answerCompleted();
      assertThat(journal.close(), is(new Outcome.Completed(200)));
    }

    @Test
    void keepsItsOutcomeDespiteLaterFacts() {
      begin();
      journal.close();
      journal.headersRead(200, false);
      journal.answerCompleted();
      assertThat(journal.close(), is(unknown(UnknownReason.NO_ANSWER)));
    }
  }

  /**
   * The header X-Not-Started with any other status proves nothing, since only status 503 is
   * documented.
   */
  @Property(seed = "20261204")
  void onlyTheDocumentedStatusProvesThatTheRequestWasRefused(
      @ForAll @IntRange(min = 200, max = 599) int status, @ForAll boolean whole) {
    AttemptFacts facts = new AttemptFacts(true, false, status, true, whole);
    assertThat(
        Tuple.of(status, OutcomeRule.decide(facts) instanceof Outcome.NotRun),
        is(Tuple.of(status, status == 503)));
  }
}
