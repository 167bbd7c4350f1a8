package org.gentianslip.core.shutdown;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

@DisplayName("The plan of a shutdown")
class ShutdownPlanTest {

  private static final long START_NANOS = Long.MAX_VALUE - 1_000;
  private static final long GRACE_MILLIS = 8_000;
  private static final long ACCEPT_MILLIS = 6_000;
  private static final long ANSWER_MILLIS = 7_440;
  private static final long STEP_MILLIS = 10;
  private static final long LONG_LIMIT_MILLIS = 10_000;

  private final ShutdownPlan plan = new ShutdownPlan(START_NANOS, GRACE_MILLIS);

  private static long after(long millis) {
    return START_NANOS + TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private boolean sends(long atMillis, RequestTime time) {
    return plan.maySend(after(atMillis), time);
  }

  /** Returns the latest time of arrival at which a request is sent, in milliseconds, or -1. */
  private long lastSent(RequestTime time) {
    long last = -1;
    for (long at = 0; at < GRACE_MILLIS; at += STEP_MILLIS) {
      last = sends(at, time) ? at : last;
    }
    return last;
  }

  private static RequestTime plain(boolean repeatable, double expected, long limit) {
    return new RequestTime(false, repeatable, expected, limit);
  }

  private static RequestTime stream(boolean repeatable, double expected, long limit) {
    return new RequestTime(true, repeatable, expected, limit);
  }

  @Test
  void namesTheTimesOfItsPhases() {
    assertThat(plan.acceptEndNanos(), is(after(ACCEPT_MILLIS)));
    assertThat(plan.answerNanos(), is(after(ANSWER_MILLIS)));
    assertThat(plan.closeNanos(), is(after(7_760)));
  }

  @Nested
  @DisplayName("for arrivals over the whole grace period")
  class Arrivals {

    @ParameterizedTest
    @ValueSource(longs = {500, 2_000, 4_000, 7_440, 10_000})
    void sendsOnlyWhatEndsInTimeIfItTakesUpToTheFactor(long limit) {
      for (boolean streaming : new boolean[] {false, true}) {
        for (boolean repeatable : new boolean[] {false, true}) {
          for (long expected = 10; expected <= LONG_LIMIT_MILLIS; expected += STEP_MILLIS) {
            var time = new RequestTime(streaming, repeatable, expected, limit);
            long slowest = Math.min(limit, expected * (repeatable ? 2 : 4));
            long last = lastSent(time);
            assertThat(
                time.toString(),
                last + slowest,
                is(lessThanOrEqualTo(last < 0 ? slowest : ANSWER_MILLIS)));
          }
        }
      }
    }

    @ParameterizedTest
    @CsvSource({"false, 50", "true, 50", "false, 300", "true, 700"})
    void sendsShortPlainRequestsAsLongAsRequestsAreAccepted(boolean repeatable, double expected) {
      for (long at = 0; at < ACCEPT_MILLIS; at += STEP_MILLIS) {
        assertThat(sends(at, plain(repeatable, expected, LONG_LIMIT_MILLIS)), is(true));
      }
    }

    @Test
    void sendsWhatEndsByItsOwnLimitUntilTheLimitPassesTheEnd() {
      assertThat(lastSent(plain(false, 5_000, 4_000)), is(3_440L));
      assertThat(lastSent(stream(false, 5_000, 4_000)), is(3_440L));
    }

    @Test
    void stopsStreamsOfUncertainLengthBeforePlainRequests() {
      assertThat(lastSent(stream(false, 500, LONG_LIMIT_MILLIS)), is(2_790L));
      assertThat(lastSent(stream(true, 500, LONG_LIMIT_MILLIS)), is(2_790L));
      assertThat(lastSent(plain(false, 500, LONG_LIMIT_MILLIS)), is(5_440L));
    }

    @Test
    void stopsRequestsThatRunOnceBeforeThoseThatMayBeRepeated() {
      assertThat(lastSent(plain(false, 1_500, LONG_LIMIT_MILLIS)), is(1_440L));
      assertThat(lastSent(plain(true, 1_500, LONG_LIMIT_MILLIS)), is(4_440L));
      assertThat(lastSent(stream(false, 1_500, LONG_LIMIT_MILLIS)), is(1_440L));
      assertThat(lastSent(stream(true, 1_500, LONG_LIMIT_MILLIS)), is(2_790L));
    }

    @Test
    void sendsNothingThatCanNotBeExpectedToEndInTime() {
      assertThat(lastSent(plain(false, 2_000, LONG_LIMIT_MILLIS)), is(-1L));
      assertThat(lastSent(stream(true, 4_000, LONG_LIMIT_MILLIS)), is(-1L));
    }
  }
}
