package org.gentianslip.core.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.testing.SeededProperty;
import org.gentianslip.core.testing.Seeds;
import org.junit.jupiter.api.Test;

class LeavingMarksTest {

  private static final long SECOND = 1_000_000_000L;
  private static final EngineId ENGINE = EngineId.of("engine-1");
  private final LeavingMarks marked = LeavingMarks.none().with(ENGINE, 0).orElseThrow();

  @Test
  void excludesMarkedServersFromWork() {
    assertThat(marked.isLeaving(1, ENGINE), is(true));
    assertThat(marked.isLeaving(1, EngineId.of("engine-2")), is(false));
  }

  @Test
  void endsAfterItsLifetime() {
    assertThat(marked.isLeaving(LeavingMarks.LIFETIME_NANOS, ENGINE), is(false));
  }

  @Test
  void isNotSentToPeersTwice() {
    assertThat(marked.with(ENGINE, SECOND), is(Optional.empty()));
  }

  @Test
  void isRenewedByLaterSightings() {
    LeavingMarks again = marked.with(ENGINE, 60 * SECOND).orElseThrow();
    assertThat(again.isLeaving(LeavingMarks.LIFETIME_NANOS, ENGINE), is(true));
  }

  @Test
  void outlivesDelayedReports() {
    assertThat(marked.withLive(5 * SECOND, ENGINE).isLeaving(6 * SECOND, ENGINE), is(true));
  }

  @Test
  void endsWhenTheServerIsSeenLiveMuchLater() {
    assertThat(marked.withLive(11 * SECOND, ENGINE).isLeaving(12 * SECOND, ENGINE), is(false));
  }

  /**
   * Simulates instances that send marks with their ages to each other; each message takes up to 100
   * ms.
   */
  @SeededProperty
  void isNotRenewedByExchangesBetweenInstances(@ForAll(supplier = Seeds.class) long seed) {
    Random random = new Random(seed);
    List<LeavingMarks> holders = new ArrayList<>(List.of(marked));
    for (int i = 0; i < 9; i++) {
      holders.add(LeavingMarks.none());
    }
    long now = 0;
    while (now < 2 * LeavingMarks.LIFETIME_NANOS) {
      now += SECOND / 2;
      int to = random.nextInt(holders.size());
      LeavingMarks from = holders.get(random.nextInt(holders.size()));
      if (from.isLeaving(now, ENGINE)) {
        long seen = from.marks().iterator().next().seenNanos();
        long transit = random.nextInt(100) * 1_000_000L;
        holders.set(to, holders.get(to).with(ENGINE, seen + transit).orElse(holders.get(to)));
      }
    }
    long end = now;
    long remainingMarks = holders.stream().filter(h -> h.isLeaving(end, ENGINE)).count();
    assertThat(remainingMarks, is(0L));
  }

  /** Simulates heartbeats that carry the marks; one in five is lost. */
  @SeededProperty
  void reachesAllInstancesOfTheRegionWithinThreeHeartbeats(
      @ForAll(supplier = Seeds.class) long seed) {
    Random random = new Random(seed);
    List<LeavingMarks> holders = new ArrayList<>(List.of(marked));
    for (int i = 0; i < 7; i++) {
      holders.add(LeavingMarks.none());
    }
    for (long now = SECOND; now <= 3 * SECOND; now += SECOND) {
      for (LeavingMarks from : List.copyOf(holders)) {
        long sent = now;
        holders.replaceAll(to -> random.nextInt(5) == 0 ? to : afterExchange(sent, from, to));
      }
    }
    holders.forEach(h -> assertThat(h.isLeaving(3 * SECOND, ENGINE), is(true)));
  }

  private static LeavingMarks afterExchange(long nowNanos, LeavingMarks from, LeavingMarks to) {
    LeavingMarks next = to;
    for (LeavingMark m : from.marks()) {
      long age = nowNanos - m.seenNanos();
      next = next.with(m.engine(), nowNanos - age).orElse(next);
    }
    return next;
  }
}
