package org.gentianslip.core.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class BackoffTest {

  private static final long FIRST = 1000;
  private static final long MAX = 16_000;
  private static final int TENTHS = 10;

  @Property(seed = "2")
  void staysBelowItsCeiling(
      @ForAll long seed, @ForAll long key, @ForAll @IntRange(min = 1, max = 100) int failures) {
    long ceiling = failures > 4 ? MAX : FIRST << (failures - 1);
    assertThat(
        new Backoff(FIRST, MAX, seed).pauseNanos(key, failures),
        both(greaterThanOrEqualTo(0L)).and(lessThanOrEqualTo(ceiling)));
  }

  @Test
  void spreadsInstancesOverTheWholePause() {
    int[] perTenth = new int[TENTHS];
    for (long seed = 0; seed < 1000; seed++) {
      perTenth[(int) (new Backoff(FIRST, MAX, seed).pauseNanos(7, 5) * TENTHS / MAX)]++;
    }
    for (int count : perTenth) {
      assertThat(count, both(greaterThanOrEqualTo(60)).and(lessThan(140)));
    }
  }
}
