package org.gentianslip.core.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.stream.IntStream;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.InstanceId;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

@DisplayName("The share of a backend server's limit")
class LimitShareTest {

  private static final long SECOND = 1_000_000_000L;
  private static final EngineId BACKEND = EngineId.of("e");

  private static List<InstanceId> instances(int count) {
    return IntStream.range(0, count).mapToObj(i -> InstanceId.of("i" + i)).toList();
  }

  /** Returns the requests in a window in which every instance sends as early as it may. */
  private static long sentIn(long windowNanos, List<InstanceId> instances, double perSecond) {
    return instances.stream()
        .mapToLong(i -> LimitShare.intervalNanos(i, instances, BACKEND, perSecond))
        .filter(interval -> interval != Long.MAX_VALUE)
        .map(interval -> 1 + windowNanos / interval)
        .sum();
  }

  @ParameterizedTest
  @CsvSource({"0, 5", "0.3, 6", "1.1, 11", "3.2, 24", "4.4, 31", "40, 245"})
  void keepsToTheLimitInAnyFourSeconds(double perSecond, long allowed) {
    for (int count : new int[] {1, 2, 3, 7, 16, 95, 250}) {
      assertThat(sentIn(4 * SECOND, instances(count), perSecond), is(lessThanOrEqualTo(allowed)));
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 7, 16, 95, 250})
  void usesMostOfTheLimit(int count) {
    long sent = sentIn(100 * SECOND, instances(count), 4.4);
    assertThat(sent, is(greaterThanOrEqualTo(350L)));
  }

  @Test
  void alwaysLeavesOneSender() {
    assertThat(sentIn(8 * SECOND, instances(95), 0), is(greaterThanOrEqualTo(1L)));
  }

  @Test
  void rejectsNegativeLimits() {
    assertThrows(
        IllegalArgumentException.class,
        () -> LimitShare.intervalNanos(InstanceId.of("i0"), instances(2), BACKEND, -0.1));
  }

  @ParameterizedTest
  @CsvSource({"0.5, 0", "1, 0", "2, 1", "5, 4", "20, 17"})
  void dividesWholeRefusalsBelowTheLimit(double perSecond, int whole) {
    for (int count : new int[] {3, 7, 16, 95}) {
      List<InstanceId> instances = instances(count);
      int sum =
          instances.stream()
              .mapToInt(i -> LimitShare.refusals(i, instances, 3, BACKEND, perSecond).perSecond())
              .sum();
      assertThat(sum, is(whole));
    }
  }

  @Test
  void assumesMoreInstancesThanAreKnown() {
    List<InstanceId> instances = instances(1);
    RefusalShare share = LimitShare.refusals(instances.get(0), instances, 3, BACKEND, 20);
    assertThat(share.perSecond(), is(lessThanOrEqualTo(6)));
  }
}
