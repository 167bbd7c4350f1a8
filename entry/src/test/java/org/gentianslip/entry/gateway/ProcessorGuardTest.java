package org.gentianslip.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.route.Repeatability;
import org.gentianslip.core.route.Route;
import org.gentianslip.core.route.WeightedService;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against requests that are taken by an instance whose event loops are delayed. */
@DisplayName("The guard of the processor")
class ProcessorGuardTest {

  private static final long MILLI = 1_000_000;
  private static final long DEADLINE_MILLIS = 5_000;

  private final ProcessorGuard guard = new ProcessorGuard(100);

  private static Route route(int rank) {
    return new Route(
        "r",
        "shop.example",
        "/",
        Repeatability.ONCE,
        false,
        DEADLINE_MILLIS,
        600,
        1,
        rank,
        List.of(new WeightedService(ServiceId.of("desk"), 1)),
        Set.of());
  }

  /** Handles a request that waited for some time; returns the retry delay if it is refused. */
  private OptionalLong handle(long nowMillis, long waitMillis, int rank) {
    long now = nowMillis * MILLI;
    var request =
        new BufferedHttpRequest(
            HttpMethod.GET, "/", EmptyHttpHeaders.INSTANCE, new byte[0], now - waitMillis * MILLI);
    return guard.recordWait(now, request)
        ? guard.retryAfterMillis(now, "a1", request, route(rank), DEADLINE_MILLIS)
        : OptionalLong.empty();
  }

  @Test
  void refusesOnlyAfterAllRequestsHaveWaitedLongForSomeTime() {
    assertThat(handle(0, 400, 1), is(OptionalLong.empty()));
    assertThat(handle(99, 400, 1), is(OptionalLong.empty()));
    assertThat(handle(100, 400, 1).isPresent(), is(true));
  }

  @Test
  void namesRetryTimeWithinTheDeadlineAfterTheDelayIsRenewed() {
    handle(0, 400, 0);
    long millis = handle(200, 400, 0).orElseThrow();
    assertThat(millis, is(allOf(greaterThan(250L), lessThan(DEADLINE_MILLIS / 2))));
  }

  @Test
  void refusesOtherRanksAtDelaysAtWhichRankZeroIsServed() {
    handle(0, 55, 1);
    assertThat(handle(200, 55, 0), is(OptionalLong.empty()));
    assertThat(handle(201, 85, 1).isPresent(), is(true));
  }

  @Test
  void countsTheTimeBeforeRequestsWereRead() {
    assertThat(guard.remainingMillis(0, 300), is(300L));
    handle(0, 120, 1);
    assertThat(guard.remainingMillis(MILLI, 300), is(180L));
    assertThat(guard.remainingMillis(MILLI, 100), is(0L));
    assertThat(guard.remainingMillis(1_000 * MILLI, 300), is(300L));
  }

  @Test
  void statesLessCapacityOnlyWhileItRefuses() {
    for (long t = 0; t <= 1_500; t += 50) {
      handle(t, 400, 1);
      guard.updateCapacity(t * MILLI, false);
    }
    assertThat(guard.capacity(), is(25));
    for (long t = 1_750; t <= 5_000; t += 250) {
      guard.updateCapacity(t * MILLI, false);
    }
    assertThat(guard.capacity(), is(100));
  }
}
