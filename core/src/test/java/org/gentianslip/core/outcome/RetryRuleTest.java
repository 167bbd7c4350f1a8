package org.gentianslip.core.outcome;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class RetryRuleTest {

  private static final Outcome NOT_RUN = new Outcome.NotRun(NotRunReason.NOT_WRITTEN);
  private static final Outcome UNKNOWN = new Outcome.Unknown(UnknownReason.NO_ANSWER);
  private final RetryBudget budget = RetryBudget.of(0.1, 1);
  private final RetryRule rule = new RetryRule(3, 10, budget);

  private RetryDecision decide(boolean idempotent, Outcome outcome) {
    return rule.decide(0, 100, 1, idempotent, false, outcome);
  }

  @Test
  void retriesRequestsThatDidNotRun() {
    assertThat(decide(false, NOT_RUN), is(RetryDecision.RETRY));
  }

  @Test
  void retriesIdempotentRequestsThatMayHaveRun() {
    assertThat(decide(true, UNKNOWN), is(RetryDecision.RETRY));
  }

  @Test
  void doesNotRetryOtherRequestsThatMayHaveRun() {
    assertThat(decide(false, UNKNOWN), is(RetryDecision.STOP_NOT_REPEATABLE));
  }

  @Test
  void doesNotRetryCompletedRequests() {
    assertThat(decide(true, new Outcome.Completed(200)), is(RetryDecision.STOP_COMPLETED));
  }

  @Test
  void doesNotRetryOnceTheCallerHasPartOfAnAnswer() {
    assertThat(rule.decide(0, 100, 1, true, true, UNKNOWN), is(RetryDecision.STOP_ANSWER_BEGUN));
  }

  @Test
  void doesNotRetryWithTooLittleTimeLeft() {
    assertThat(rule.decide(91, 100, 1, true, false, NOT_RUN), is(RetryDecision.STOP_DEADLINE));
  }

  @Test
  void doesNotRetryAfterTheLastAttempt() {
    assertThat(rule.decide(0, 100, 3, true, false, NOT_RUN), is(RetryDecision.STOP_ATTEMPTS));
  }

  @Test
  void doesNotRetryWithoutBudget() {
    decide(false, NOT_RUN);
    assertThat(decide(false, NOT_RUN), is(RetryDecision.STOP_BUDGET));
  }

  @Test
  void usesNoBudgetOnRefusals() {
    rule.decide(0, 100, 3, true, false, NOT_RUN);
    assertThat(budget.tryTake(), is(true));
  }

  @Test
  void quotesAnInvalidShare() {
    var thrown = assertThrows(IllegalArgumentException.class, () -> RetryBudget.of(1.5, 1));
    assertThat(thrown.getMessage(), is("Share must be from 0 to 1: 1.5"));
  }

  @Property(seed = "20261204")
  void retriesNeverExceedTheirShare(
      @ForAll @Size(max = 200) boolean[] steps,
      @ForAll @DoubleRange(min = 0, max = 1) double share,
      @ForAll @IntRange(min = 0, max = 10) int burst) {
    RetryBudget shared = RetryBudget.of(share, burst);
    int requests = 0;
    int retries = 0;
    for (boolean request : steps) {
      if (request) {
        shared.recordRequest();
        requests++;
      } else if (shared.tryTake()) {
        retries++;
      }
      assertThat((double) retries, lessThanOrEqualTo(burst + share * requests + 1e-9));
    }
  }
}
