package org.gentianslip.core.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class ConcurrencyLimitTest {

  private static final int SLOTS = 16;
  private static final long SECOND = 1_000_000_000L;

  private static ConcurrencyLimit oneThird() {
    return ConcurrencyLimit.of(0, SLOTS, EngineShare.equal(1, 3));
  }

  @Test
  void isTheOwnShareWithoutReport() {
    assertThat(oneThird().limit(), is(5));
  }

  @Test
  void allowsBorrowingPartOfTheFreeSlots() {
    assertThat(oneThird().limit(0, new EngineReport(5, 0, 5, 0)), is(9));
  }

  @Test
  void allowsNoBorrowingOnAnOldReport() {
    assertThat(oneThird().limit(6 * SECOND, new EngineReport(5, 0, 5, 0)), is(5));
  }

  @Test
  void decreasesOnceForSeveralRefusalsInShortTime() {
    var once = oneThird().afterRefusal(SECOND);
    assertThat(once.afterRefusal(SECOND + 1).limit(), is(once.limit()));
  }

  @Test
  void decreasesOnSlowTokensAndRecovers() {
    var limit = oneThird().afterAnswer(SECOND, 60_000_000, 54_000_000);
    int decreased = limit.limit();
    for (int i = 2; i < 12; i++) {
      limit = limit.afterAnswer(i * SECOND, 40_000_000, 54_000_000);
    }
    assertThat(decreased, is(lessThan(limit.limit())));
  }

  @Test
  void rejectsAnEngineWithoutSlots() {
    assertThrows(
        IllegalArgumentException.class, () -> ConcurrencyLimit.of(0, 0, EngineShare.equal(0, 1)));
  }

  @Property(seed = "3")
  void ownSharesOfAllInstancesAddUpToTheSlots(
      @ForAll @Size(min = 1, max = SLOTS) List<@IntRange(min = 1, max = 9) Integer> weights) {
    int total = weights.stream().mapToInt(Integer::intValue).sum();
    int before = 0;
    int sum = 0;
    for (int i = 0; i < weights.size(); i++) {
      sum += new EngineShare(before, weights.get(i), total, i, weights.size()).portionOf(SLOTS);
      before += weights.get(i);
    }
    assertThat(sum, is(SLOTS));
  }

  @Property(seed = "4")
  void borrowersOfOneReportNeverExceedTheSlots(
      @ForAll @Size(min = 2, max = 8) List<@IntRange(min = 0, max = SLOTS) Integer> wanted) {
    int n = wanted.size();
    int free = SLOTS;
    int[] inFlight = new int[n];
    for (int i = 0; i < n; i++) {
      inFlight[i] = Math.min(wanted.get(i), free);
      free -= inFlight[i];
    }
    int running = SLOTS - free;
    int sum = 0;
    int belowShare = 0;
    for (int i = 0; i < n; i++) {
      var share = EngineShare.equal(i, n);
      sum +=
          ConcurrencyLimit.of(0, SLOTS, share)
              .limit(0, new EngineReport(running, 0, inFlight[i], 0));
      belowShare += Math.max(0, share.portionOf(SLOTS) - inFlight[i] - share.portionOfFree(free));
    }
    assertThat(sum, is(lessThanOrEqualTo(SLOTS + belowShare)));
  }
}
