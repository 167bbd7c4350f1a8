package org.gentianslip.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("A sample of instances by capacity")
class CapacitySampleTest {

  private static final int DRAWS = 4_000;
  private final SplittableRandom random = new SplittableRandom(1);

  private List<Integer> draw(List<Integer> capacities) {
    return CapacitySample.draw(capacities, c -> c, 64, random);
  }

  @Test
  void containsAllInstancesOfEqualCapacity() {
    assertThat(
        CapacitySample.draw(List.of("a", "b", "c"), s -> 7, 64, random),
        containsInAnyOrder("a", "b", "c"));
  }

  @Test
  void givesSmallInstancesTheirShareOfCallers() {
    List<Integer> region = new ArrayList<>(Collections.nCopies(6, 150));
    region.addAll(Collections.nCopies(26, 36));
    double small = 0;
    for (int i = 0; i < DRAWS; i++) {
      List<Integer> drawn = draw(region);
      small += (double) drawn.stream().filter(c -> c == 36).count() / drawn.size();
    }
    double capacityShare = 26 * 36.0 / (6 * 150 + 26 * 36);
    assertThat(small / DRAWS, is(closeTo(capacityShare, 0.1)));
    assertThat(small / DRAWS, is(lessThan(26.0 / 32)));
  }

  @Test
  void reachesEveryInstance() {
    List<Integer> region = List.of(200, 1, 2, 3);
    var seen = new HashSet<Integer>();
    for (int i = 0; i < DRAWS; i++) {
      seen.addAll(draw(region));
    }
    assertThat(seen, containsInAnyOrder(200, 1, 2, 3));
  }

  @Test
  void obeysTheLimit() {
    assertThat(CapacitySample.draw(Collections.nCopies(90, 5), c -> c, 64, random), hasSize(64));
  }

  @Test
  void isEmptyWithoutInstances() {
    assertThat(draw(List.of()), is(empty()));
  }

  @Test
  void rejectsLimitsBelowOne() {
    assertThrows(
        IllegalArgumentException.class, () -> CapacitySample.draw(List.of(1), c -> c, 0, random));
  }
}
