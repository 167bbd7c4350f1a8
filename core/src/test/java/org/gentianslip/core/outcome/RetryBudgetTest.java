package org.gentianslip.core.outcome;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {

  @Test
  void allowsNoMoreRetriesThanAccumulated() {
    var budget = RetryBudget.of(0.1, 1);
    budget.tryTake();
    assertThat(budget.tryTake(), is(false));
  }

  @Test
  void rejectsAnInvalidShare() {
    assertThrows(IllegalArgumentException.class, () -> RetryBudget.of(1.5, 1));
  }

  @Property(seed = "8")
  void staysWithinItsShare(@ForAll List<Boolean> retries) {
    var budget = RetryBudget.of(0.1, 3);
    int granted = 0;
    int requests = 0;
    for (boolean retry : retries) {
      if (retry) {
        granted += budget.tryTake() ? 1 : 0;
      } else {
        budget.recordRequest();
        requests++;
      }
      assertThat(granted, is(lessThanOrEqualTo(3 + requests / 10)));
    }
  }
}
