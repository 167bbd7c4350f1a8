package org.gentianslip.core.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import org.gentianslip.core.id.RegionId;
import org.junit.jupiter.api.Test;

class RegionBackoffTest {

  private static final long SECOND = 1_000_000_000L;
  private static final long LONGEST_WAIT_NANOS = RegionBackoff.MAX_WAIT_NANOS * 3 / 2;
  private static final RegionId FAR = RegionId.of("far");
  private static final int REQUESTS = 10_000;
  private final RegionBackoff backoff = new RegionBackoff(1);

  private static long hash(int request) {
    return RendezvousHash.hash("request", Integer.toString(request));
  }

  private double admittedShare(long nowNanos) {
    int admitted = 0;
    for (int i = 0; i < REQUESTS; i++) {
      admitted += backoff.admits(nowNanos, FAR, hash(i)) ? 1 : 0;
    }
    return (double) admitted / REQUESTS;
  }

  /** Returns the first time at which the region is sent any request, with a precision of 10 ms. */
  private static long resumeTime(RegionBackoff backoff, long fromNanos) {
    long now = fromNanos;
    while (!backoff.admits(now, FAR, 0)) {
      now += SECOND / 100;
    }
    return now;
  }

  @Test
  void admitsAllBeforeAnyFailure() {
    assertThat(admittedShare(0), is(1.0));
  }

  @Test
  void admitsNoneRightAfterFailure() {
    backoff.failed(0, 0, FAR);
    assertThat(admittedShare(1), is(0.0));
  }

  @Test
  void stillAdmitsRequestsToOtherRegions() {
    backoff.failed(0, 0, FAR);
    assertThat(backoff.admits(1, RegionId.of("other"), hash(1)), is(true));
  }

  @Test
  void growsFromOneSixteenthToAll() {
    backoff.failed(0, 0, FAR);
    long resumed = resumeTime(backoff, 0);
    assertThat(admittedShare(resumed), closeTo(1 / 16.0, 0.01));
    assertThat(admittedShare(resumed + SECOND), closeTo(1 / 8.0, 0.02));
    assertThat(admittedShare(resumed + 4 * SECOND), is(1.0));
  }

  @Test
  void countsRequestsInFlightOnce() {
    RegionBackoff once = new RegionBackoff(1);
    once.failed(0, 0, FAR);
    backoff.failed(0, 0, FAR);
    for (int i = 1; i < 100; i++) {
      backoff.failed(i, i, FAR);
    }
    assertThat(resumeTime(backoff, 100), lessThan(resumeTime(once, 0) + SECOND / 50));
  }

  @Test
  void waitsAtMostTheLongestTimeAfterManyFailures() {
    long now = 0;
    for (int i = 0; i < 50; i++) {
      backoff.failed(now, now, FAR);
      now += LONGEST_WAIT_NANOS;
    }
    assertThat(
        resumeTime(backoff, now - LONGEST_WAIT_NANOS) - (now - LONGEST_WAIT_NANOS),
        lessThan(LONGEST_WAIT_NANOS));
  }

  @Test
  void forgetsFailuresOnceAllRequestsAreAdmittedAndAnswered() {
    backoff.failed(0, 0, FAR);
    backoff.succeeded(LONGEST_WAIT_NANOS, FAR);
    backoff.failed(LONGEST_WAIT_NANOS, LONGEST_WAIT_NANOS, FAR);
    long first = resumeTime(backoff, LONGEST_WAIT_NANOS) - LONGEST_WAIT_NANOS;
    assertThat(first, lessThan(2 * RegionBackoff.MIN_WAIT_NANOS));
  }

  @Test
  void instancesDoNotResumeTogether() {
    int instances = 300;
    int early = 0;
    for (int i = 0; i < instances; i++) {
      RegionBackoff b = new RegionBackoff(i);
      long now = 0;
      for (int f = 0; f < 7; f++) {
        b.failed(now, now, FAR);
        now = resumeTime(b, now);
      }
      b.failed(now, now, FAR);
      early += b.admits(now + RegionBackoff.MAX_WAIT_NANOS * 6 / 10, FAR, 0) ? 1 : 0;
    }
    assertThat((double) early / instances, closeTo(0.1, 0.06));
  }
}
