package org.gentianslip.load.run;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.containsString;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests {@link PoissonArrivals}. */
class PoissonArrivalsTest {

  private static final long SEED = Long.getLong("seed", 7);

  @Test
  void keepsTheMeanRate() {
    PoissonArrivals arrivals = arrivals(50);
    long lastNanos = 0;
    int count = 10_000;
    for (int i = 0; i < count; i++) {
      lastNanos = arrivals.nextNanos();
    }

    assertThat("seed " + SEED, count / (lastNanos / 1e9), closeTo(50, 2.5));
  }

  @Test
  void drawsExponentiallyDistributedGaps() {
    PoissonArrivals arrivals = arrivals(1);
    int count = 10_000;
    int shorterThanMean = 0;
    long lastNanos = 0;
    for (int i = 0; i < count; i++) {
      long nextNanos = arrivals.nextNanos();
      shorterThanMean += nextNanos - lastNanos < 1e9 ? 1 : 0;
      lastNanos = nextNanos;
    }

    double expected = 1 - Math.exp(-1);
    assertThat("seed " + SEED, (double) shorterThanMean / count, closeTo(expected, 0.02));
  }

  @Test
  void quotesInvalidRate() {
    IllegalArgumentException e =
        Assertions.assertThrows(IllegalArgumentException.class, () -> arrivals(-3));

    assertThat(e.getMessage(), containsString("-3"));
  }

  private static PoissonArrivals arrivals(double rate) {
    return new PoissonArrivals(RandomSource.XO_RO_SHI_RO_128_PP.create(SEED), rate);
  }
}
