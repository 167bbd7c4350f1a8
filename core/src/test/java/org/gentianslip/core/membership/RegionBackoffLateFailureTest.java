package org.gentianslip.core.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.gentianslip.core.id.RegionId;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Failures of requests that were sent together")
class RegionBackoffLateFailureTest {

  private static final RegionId REGION = RegionId.of("wien");
  private static final long SECOND = 1_000_000_000L;
  private static final long SENT_NANOS = 5 * SECOND;
  private static final int REQUESTS = 20;

  @Test
  void countOnceHoweverLateTheyAre() {
    RegionBackoff backoff = new RegionBackoff(1);
    for (int i = 1; i <= REQUESTS; i++) {
      backoff.failed(SENT_NANOS + i * SECOND, SENT_NANOS, REGION);
    }
    long allAdmittedNanos = SENT_NANOS + SECOND + RegionBackoff.MIN_WAIT_NANOS * 2 + 5 * SECOND;
    assertThat(backoff.admits(allAdmittedNanos, REGION, -1L), is(true));
  }

  @Test
  void startAnotherWaitIfSentAfterThePreviousWait() {
    RegionBackoff backoff = new RegionBackoff(1);
    backoff.failed(SENT_NANOS + SECOND, SENT_NANOS, REGION);
    long resumedNanos = SENT_NANOS + 2 * SECOND;
    backoff.failed(resumedNanos + SECOND, resumedNanos, REGION);
    assertThat(backoff.admits(resumedNanos + SECOND, REGION, 0L), is(false));
  }
}
