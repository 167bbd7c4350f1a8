package org.gentianslip.core.revision;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.testing.SeededProperty;
import org.gentianslip.core.testing.Seeds;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ReadLoadTest {

  private static final long SECOND = 1_000_000_000L;

  private static List<InstanceId> region(int size) {
    return IntStream.range(0, size).mapToObj(i -> InstanceId.of("r" + i)).toList();
  }

  private static long watchers(WatcherSelection selection, Collection<InstanceId> live, int fleet) {
    return live.stream().filter(i -> selection.watches(i, live, fleet)).count();
  }

  @Nested
  class Watchers {

    private final WatcherSelection selection = new WatcherSelection(64, 3);

    @Test
    void includeAllInstancesOfSmallFleets() {
      assertThat(watchers(selection, region(8), 24), is(8L));
    }

    @Test
    void includeFewInstancesOfEachRegionInLargeFleets() {
      assertThat(watchers(selection, region(73), 1100), is(3L));
    }

    @Test
    void keepTheOthersWhenOneWatcherFails() {
      List<InstanceId> live = new ArrayList<>(region(73));
      List<InstanceId> before =
          live.stream().filter(i -> selection.watches(i, live, 1100)).toList();
      live.remove(before.get(0));
      assertThat(selection.watches(before.get(1), live, 1100), is(true));
      assertThat(watchers(selection, live, 1100), is(3L));
    }

    @Test
    void includeInstancesThatKnowNoOthers() {
      assertThat(selection.watches(InstanceId.of("r1"), List.of(), 1100), is(true));
    }
  }

  @SeededProperty
  void readBudgetHoldsInAnySpanExtendedByTheAgeOfTheTimes(
      @ForAll(supplier = Seeds.class) long seed) {
    Random random = new Random(seed);
    int maxAgeSeconds = random.nextInt(5);
    int burst = 1 + random.nextInt(5);
    long now = random.nextLong() / 4;
    ReadBudget budget = ReadBudget.of(2, burst, now);
    List<Long> readTimes = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      now += (long) (random.nextDouble() * SECOND / 2);
      long usedTime = now - random.nextInt(maxAgeSeconds + 1) * SECOND;
      if (budget.tryTake(usedTime)) {
        readTimes.add(now);
      }
    }
    for (int i = 0; i < readTimes.size(); i++) {
      for (int j = i; j < readTimes.size(); j++) {
        long span = readTimes.get(j) - readTimes.get(i) + maxAgeSeconds * SECOND;
        assertThat((double) (j - i + 1), lessThanOrEqualTo(burst + 2.0 * span / SECOND + 1e-6));
      }
    }
  }
}
