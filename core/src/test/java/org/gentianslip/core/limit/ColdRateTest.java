package org.gentianslip.core.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
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
import org.junit.jupiter.params.provider.ValueSource;

@DisplayName("The share of a cold backend server's rate")
class ColdRateTest {

  private static final double RATE = 8.7;

  private static List<InstanceId> instances(int count) {
    return IntStream.range(0, count).mapToObj(i -> InstanceId.of("i" + i)).toList();
  }

  private static int sum(List<InstanceId> senders, List<InstanceId> known, EngineId backend) {
    return senders.stream().mapToInt(i -> ColdRate.perSecond(i, known, 3, backend, RATE)).sum();
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 7, 8, 9, 32, 250})
  void neverExceedsTheRateOfTheRegion(int count) {
    List<InstanceId> all = instances(count);
    for (int e = 0; e < 20; e++) {
      int sum = sum(all, all, EngineId.of("e" + e));
      assertThat(sum, is(lessThanOrEqualTo((int) RATE)));
      assertThat(sum, is(greaterThan(1)));
    }
  }

  @Test
  void neverExceedsTheRateOnBothSidesOfPartitionTogether() {
    List<InstanceId> all = instances(32);
    EngineId backend = EngineId.of("e");
    int sum = sum(all.subList(0, 16), all, backend) + sum(all.subList(16, 32), all, backend);
    assertThat(sum, is(lessThanOrEqualTo((int) RATE)));
  }

  @Test
  void selectsOtherInstancesForOtherBackendServers() {
    List<InstanceId> all = instances(32);
    long selectedSomewhere =
        all.stream()
            .filter(
                i ->
                    IntStream.range(0, 40)
                        .anyMatch(
                            e -> ColdRate.perSecond(i, all, 3, EngineId.of("e" + e), RATE) > 0))
            .count();
    assertThat(selectedSomewhere, is(32L));
  }

  @Test
  void allowsNothingIfTheRateIsBelowOne() {
    assertThat(
        ColdRate.perSecond(InstanceId.of("i0"), instances(4), 3, EngineId.of("e"), 0.5), is(0));
  }

  @Test
  void rejectsNegativeRates() {
    assertThrows(
        IllegalArgumentException.class,
        () -> ColdRate.perSecond(InstanceId.of("i0"), instances(4), 3, EngineId.of("e"), -1));
  }
}
