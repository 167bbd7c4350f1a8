package org.gentianslip.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Set;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("A peer registry")
class PeerRegistryTest {

  private static final InstanceId OTHER = InstanceId.of("other");
  private static final InstanceId RECEIVER = InstanceId.of("receiver");
  private static final long SECOND = 1_000_000_000L;

  private final ChangeCounter changes = new ChangeCounter();
  private final PeerRegistry registry =
      new PeerRegistry(InstanceId.of("self"), RegionId.of("north"), 5, changes);

  private static PeerRecord peer(String id, long incarnation, long beat, boolean leaving) {
    return new PeerRecord(
        InstanceId.of(id),
        incarnation,
        beat,
        RegionId.of("north"),
        DataCentreId.of("north-1"),
        "c",
        "k",
        "f",
        100,
        true,
        leaving);
  }

  private static PeerStatement alive(String id, long incarnation, long beat) {
    return new PeerStatement(peer(id, incarnation, beat, false), false, 0);
  }

  private static PeerStatement silent(String id, long incarnation, long beat, long millis) {
    return new PeerStatement(peer(id, incarnation, beat, false), true, millis);
  }

  private List<PeerRecord> live() {
    return registry.live(dc -> true);
  }

  @Nested
  @DisplayName("beside a build that passes records on without their wire version")
  class BesideEarlierBuild {

    private PeerStatement passedOn(long incarnation, long beat) {
      PeerRecord p = peer("a", incarnation, beat, false);
      var record =
          new PeerRecord(
              p.id(),
              incarnation,
              beat,
              p.region(),
              p.dataCentre(),
              p.callerAddress(),
              p.controlAddress(),
              p.forwardAddress(),
              p.capacity(),
              true,
              false,
              p.size(),
              Set.of(),
              WireVersion.UNSTATED);
      return new PeerStatement(record, false, 0);
    }

    @Test
    void keepsTheVersionOfTheProcessAndNumbersNoChange() {
      registry.recordDirect(0, peer("a", 1, 1, false));
      long first = changes.last();
      registry.recordRelayed(1, OTHER, passedOn(1, 2));
      assertThat(live().get(0).wire(), is(WireVersion.CURRENT));
      assertThat(changes.last(), is(first));
    }

    @Test
    void takesNothingOverFromAnEarlierProcess() {
      registry.recordDirect(0, peer("a", 1, 1, false));
      registry.recordRelayed(1, OTHER, passedOn(2, 1));
      assertThat(live().get(0).wire(), is(WireVersion.UNSTATED));
    }
  }

  @Nested
  @DisplayName("with an instance that reports directly")
  class WithDirectReports {

    @Test
    void numbersOnlyChangesOtherThanOfTheBeat() {
      registry.recordDirect(0, peer("a", 1, 1, false));
      long first = changes.last();
      registry.recordDirect(1, peer("a", 1, 2, false));
      assertThat(changes.last(), is(first));
      registry.recordDirect(2, peer("a", 1, 3, true));
      assertThat(registry.changesAfter(2, first, RECEIVER), hasSize(1));
    }

    @Test
    void doesNotReturnChangesToTheInstanceTheyCameFrom() {
      registry.recordDirect(0, peer("a", 1, 1, false));
      assertThat(registry.changesAfter(0, 0, InstanceId.of("a")), is(empty()));
      assertThat(registry.changesAfter(0, 0, RECEIVER), hasSize(1));
    }

    @Test
    void ignoresReportsThatWereOvertaken() {
      registry.recordDirect(0, peer("a", 1, 5, true));
      registry.recordDirect(1, peer("a", 1, 4, false));
      assertThat(live().get(0).leaving(), is(true));
    }

    @Test
    void countsItAsLiveAgainAfterItWasSilent() {
      registry.recordDirect(0, peer("a", 1, 1, false));
      registry.declareSilent(1, InstanceId.of("a"));
      assertThat(live(), is(empty()));
      registry.recordDirect(2, peer("a", 1, 2, false));
      assertThat(live(), hasSize(1));
    }

    @Test
    void tellsAnInstanceWhoseClockWentBackWhichIncarnationIsKnown() {
      registry.recordDirect(0, peer("a", 9, 50, true));
      long before = changes.last();
      registry.recordDirect(1, peer("a", 8, 1, false));
      List<PeerStatement> told = registry.changesAfter(1, before, InstanceId.of("a"));
      assertThat(told.get(0).peer().incarnation(), is(9L));
      registry.recordDirect(2, peer("a", 10, 2, false));
      assertThat(live().get(0).leaving(), is(false));
    }
  }

  @Nested
  @DisplayName("with statements of other instances")
  class WithRelayedStatements {

    @Test
    void acceptsThatAnInstanceIsSilentAtTheSameBeat() {
      registry.recordRelayed(0, OTHER, alive("a", 1, 5));
      registry.recordRelayed(1, OTHER, silent("a", 1, 5, 0));
      assertThat(live(), is(empty()));
    }

    @Test
    void repeatsTheOppositeOfSilenceAfterLaterBeat() {
      registry.recordDirect(0, peer("a", 1, 6, false));
      long before = changes.last();
      registry.recordRelayed(1, OTHER, silent("a", 1, 5, 0));
      assertThat(live(), hasSize(1));
      assertThat(registry.changesAfter(1, before, OTHER), contains(alive("a", 1, 6)));
    }

    @Test
    void acceptsLaterBeatAfterSilence() {
      registry.recordRelayed(0, OTHER, silent("a", 1, 5, 0));
      registry.recordRelayed(1, OTHER, alive("a", 1, 6));
      assertThat(live(), hasSize(1));
    }

    @Test
    void ignoresRecordsOfAnEarlierIncarnation() {
      registry.recordDirect(0, peer("a", 9, 1, false));
      registry.recordRelayed(1, OTHER, alive("a", 8, 99));
      assertThat(live().get(0).incarnation(), is(9L));
    }

    @Test
    void takesHigherIncarnationThanOthersReportOfItself() {
      registry.recordRelayed(0, OTHER, alive("self", 7, 1));
      assertThat(registry.ownIncarnation(), is(greaterThan(7L)));
      assertThat(registry.known(0), is(empty()));
    }

    @Test
    void doesNotRememberLongerThanTheFirstInstanceThatNoticedTheSilence() {
      registry.recordRelayed(70 * SECOND, OTHER, silent("a", 1, 5, 50_000));
      assertThat(registry.known(70 * SECOND), hasSize(1));
      assertThat(registry.known(81 * SECOND), is(empty()));
      registry.recordRelayed(81 * SECOND, OTHER, silent("a", 1, 5, 61_000));
      assertThat(registry.known(81 * SECOND), is(empty()));
    }
  }
}
