package org.gentianslip.core.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class RecoveryRampTest {

  private final RecoveryRamp ramp = new RecoveryRamp(0.2, 1000);

  @Test
  void startsWithTheFirstShare() {
    assertThat(ramp.share(50, 50), is(closeTo(0.2, 1e-9)));
  }

  @Test
  void risesLinearly() {
    assertThat(ramp.share(550, 50), is(closeTo(0.6, 1e-9)));
  }

  @Test
  void endsWithTheFullLimit() {
    assertThat(ramp.limit(5000, 50, 16), is(16));
  }
}
