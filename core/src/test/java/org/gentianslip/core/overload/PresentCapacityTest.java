package org.gentianslip.core.overload;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against a stated capacity that flaps, or that stays low after the load has ended. */
@DisplayName("The capacity that an instance states")
class PresentCapacityTest {

  private static final long MILLI = 1_000_000;

  private final PresentCapacity capacity = new PresentCapacity(150);
  private long nowMillis;

  /** Returns the capacities that are stated one after the other, with updates each 250 ms. */
  private List<Integer> changes(boolean refusing, long millis) {
    List<Integer> changes = new ArrayList<>();
    for (long end = nowMillis + millis; nowMillis < end; nowMillis += 250) {
      if (capacity.update(nowMillis * MILLI, refusing)) {
        changes.add(capacity.current());
      }
    }
    return changes;
  }

  @Test
  void fallsInStepsToOneTenth() {
    assertThat(changes(true, 5_000), contains(75, 38, 15));
  }

  @Test
  void returnsToTheSizeWithoutWork() {
    changes(true, 5_000);
    assertThat(changes(false, 3_000), contains(38, 75));
    assertThat(changes(false, 1_000), contains(150));
  }

  @Test
  void keepsTheSizeInShortOverloads() {
    for (int i = 0; i < 10; i++) {
      assertThat(changes(true, 500), is(List.of()));
      assertThat(changes(false, 250), is(List.of()));
    }
  }

  @Test
  void isNeverZero() {
    var smallest = new PresentCapacity(1);
    for (long t = 0; t < 5_000; t += 250) {
      smallest.update(t * MILLI, true);
    }
    assertThat(smallest.current(), is(1));
  }
}
