package org.gentianslip.core.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class ByteBudgetTest {

  private static final long SECOND = 1_000_000_000L;

  private final ByteBudget budget = ByteBudget.of(1_000, 0);

  @Test
  void holdsOneSecondOfBytesAtFirst() {
    assertThat(budget.free(0), is(1_000L));
  }

  @Test
  void holdsNoMoreAfterLongIdleness() {
    assertThat(budget.free(60 * SECOND), is(1_000L));
  }

  @Test
  void givesLessAfterTaking() {
    budget.take(0, 400);
    assertThat(budget.free(0), is(600L));
  }

  @Test
  void fillsEvenly() {
    budget.take(0, 1_000);
    assertThat(budget.free(SECOND / 2), is(500L));
  }

  @Test
  void givesNothingUntilDebtIsPaid() {
    budget.take(0, 3_000);
    assertThat(budget.free(2 * SECOND), is(0L));
  }

  @Test
  void refusesRatesThatAreNotPositive() {
    assertThrows(IllegalArgumentException.class, () -> ByteBudget.of(0, 0));
  }
}
