package org.gentianslip.entry.logging;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class LogRateTest {

  private static final long SECOND = 1_000_000_000L;

  private final LogRate rate = new LogRate(2);

  private long admitted(long nowNanos, String place, int lines) {
    long admitted = 0;
    for (int i = 0; i < lines; i++) {
      admitted += rate.admits(nowNanos, place) ? 1 : 0;
    }
    return admitted;
  }

  @Test
  void boundsTheLinesOfPlace() {
    assertThat(admitted(0, "a", 5), is(2L));
  }

  @Test
  void countsEachPlaceByItself() {
    admitted(0, "a", 5);
    assertThat(admitted(0, "b", 1), is(1L));
  }

  @Test
  void admitsLinesAgainInTheNextWindow() {
    admitted(0, "a", 5);
    assertThat(admitted(SECOND, "a", 5), is(2L));
  }

  @Test
  void keepsTheWindowWhileLinesAreLeftOut() {
    admitted(0, "a", 5);
    admitted(SECOND - 1, "a", 5);
    assertThat(admitted(SECOND, "a", 1), is(1L));
  }

  @Test
  void worksAcrossTheOverflowOfTheClock() {
    admitted(Long.MAX_VALUE, "a", 5);
    assertThat(admitted(Long.MAX_VALUE + SECOND, "a", 5), is(2L));
  }

  @Test
  void refusesLimitOfNothing() {
    assertThrows(IllegalArgumentException.class, () -> rate.setLimit(0));
  }
}
