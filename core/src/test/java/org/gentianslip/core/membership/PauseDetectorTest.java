package org.gentianslip.core.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class PauseDetectorTest {

  private final PauseDetector detector = new PauseDetector(10, -5);

  @Test
  void reportsNoPauseBetweenRegularTicks() {
    assertThat(detector.tick(5), is(false));
    assertThat(detector.tick(15), is(false));
  }

  @Test
  void reportsPausesOnce() {
    assertThat(detector.tick(6), is(true));
    assertThat(detector.tick(7), is(false));
  }

  @Test
  void isStaleBeforeTheFirstTickAfterPauses() {
    assertThat(detector.isStale(5), is(false));
    assertThat(detector.isStale(6), is(true));
  }

  @Test
  void isNotResetByThreadsWithAnOlderTime() {
    detector.tick(100);
    detector.tick(3);
    assertThat(detector.isStale(105), is(false));
  }
}
