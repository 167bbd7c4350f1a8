package org.gentianslip.core.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The retry delay")
class RetryDelayTest {

  @Test
  void isShortAfterShortOverload() {
    assertThat(RetryDelay.millis(100, 5_000, 0.5), is(lessThan(300L)));
  }

  @Test
  void neverExceedsTheDelayThatCallersAccept() {
    for (int excessMillis = 0; excessMillis < 20_000; excessMillis += 100) {
      for (double fraction = 0; fraction < 1; fraction += 0.1) {
        assertThat(RetryDelay.millis(excessMillis, 6_000, fraction), is(lessThanOrEqualTo(2_000L)));
      }
    }
  }

  @Test
  void isSpreadAfterLongOverload() {
    long first = RetryDelay.millis(10_000, 6_000, 0);
    long last = RetryDelay.millis(10_000, 6_000, 0.99);
    assertThat(last - first, is(greaterThan(500L)));
  }

  @Test
  void isLongerThanAnyPauseAndSpreadAfterIt() {
    assertThat(RetryDelay.afterPause(4_000, 0), is(greaterThan(4_000L)));
    assertThat(
        RetryDelay.afterPause(4_000, 0.99) - RetryDelay.afterPause(4_000, 0),
        is(greaterThan(500L)));
  }
}
