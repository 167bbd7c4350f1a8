package org.gentianslip.entry.logging;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class LogRateLimiterTest {

  private static final long SECOND_NANOS = 1_000_000_000L;

  private final LogRateLimiter limiter = new LogRateLimiter(2);

  private long admitted(long nowNanos, String callSite, int lines) {
    long admitted = 0;
    for (int i = 0; i < lines; i++) {
      admitted += limiter.admits(nowNanos, callSite) ? 1 : 0;
    }
    return admitted;
  }

  @Test
  void limitsTheLinesOfOneCallSite() {
    assertThat(admitted(0, "a", 5), is(2L));
  }

  @Test
  void countsEachCallSiteSeparately() {
    admitted(0, "a", 5);
    assertThat(admitted(0, "b", 1), is(1L));
  }

  @Test
  void admitsLinesAgainInTheNextWindow() {
    admitted(0, "a", 5);
    assertThat(admitted(SECOND_NANOS, "a", 5), is(2L));
  }

  @Test
  void doesNotExtendTheWindowWhileLinesAreDropped() {
    admitted(0, "a", 5);
    admitted(SECOND_NANOS - 1, "a", 5);
    assertThat(admitted(SECOND_NANOS, "a", 1), is(1L));
  }

  @Test
  void admitsLinesAgainAcrossAnOverflowOfTheClock() {
    admitted(Long.MAX_VALUE, "a", 5);
    assertThat(admitted(Long.MAX_VALUE + SECOND_NANOS, "a", 5), is(2L));
  }

  @Test
  void refusesLimitsBelowOne() {
    assertThrows(IllegalArgumentException.class, () -> limiter.setLimit(0));
  }
}
