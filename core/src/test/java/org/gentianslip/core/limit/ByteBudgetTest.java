package org.gentianslip.core.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class ByteBudgetTest {

  private static final long SECOND = 1_000_000_000L;

  private final ByteBudget budget = ByteBudget.of(1_000, 0);

  @Test
  void startsWithTheBytesOfOneSecond() {
    assertThat(budget.availableBytes(0), is(1_000L));
  }

  @Test
  void holdsNoMoreThanOneSecondAfterLongIdleness() {
    assertThat(budget.availableBytes(60 * SECOND), is(1_000L));
  }

  @Test
  void hasLessAfterUse() {
    budget.consume(0, 400);
    assertThat(budget.availableBytes(0), is(600L));
  }

  @Test
  void refillsLinearly() {
    budget.consume(0, 1_000);
    assertThat(budget.availableBytes(SECOND / 2), is(500L));
  }

  @Test
  void hasNothingUntilTheDebtIsRefilled() {
    budget.consume(0, 3_000);
    assertThat(budget.availableBytes(2 * SECOND), is(0L));
  }

  @Test
  void rejectsRatesThatAreNotPositive() {
    assertThrows(IllegalArgumentException.class, () -> ByteBudget.of(0, 0));
  }
}
