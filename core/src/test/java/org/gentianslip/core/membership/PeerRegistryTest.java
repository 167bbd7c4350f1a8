package org.gentianslip.core.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("A peer registry")
class PeerRegistryTest {

  private static final long LOCAL_SILENCE_NANOS = PeerRegistry.LOCAL_SILENCE_NANOS;

  private final PeerRegistry registry =
      new PeerRegistry(InstanceId.of("self"), RegionId.of("north"));

  private static PeerRecord peer(
      String id, String region, long startedMillis, long beat, boolean leaving) {
    return new PeerRecord(
        InstanceId.of(id),
        startedMillis,
        beat,
        RegionId.of(region),
        DataCentreId.of(region + "-1"),
        "c",
        "k",
        "f",
        true,
        leaving,
        Map.of());
  }

  @Nested
  @DisplayName("with an instance of its region")
  class WithLocalInstance {

    @Test
    void countsItAsLiveUntilTheTimeout() {
      registry.recordDirect(0, peer("a", "north", 1, 1, false));
      assertThat(registry.live(LOCAL_SILENCE_NANOS - 1), hasSize(1));
      assertThat(registry.live(LOCAL_SILENCE_NANOS), is(empty()));
    }

    @Test
    void doesNotCountAnOldRecordAsSignOfLife() {
      registry.recordDirect(0, peer("a", "north", 1, 5, false));
      registry.recordRelayed(LOCAL_SILENCE_NANOS - 1, peer("a", "north", 1, 5, false));
      assertThat(registry.live(LOCAL_SILENCE_NANOS), is(empty()));
    }

    @Test
    void acceptsNewerRecordsFromAnotherInstance() {
      registry.recordDirect(0, peer("a", "north", 1, 5, false));
      registry.recordRelayed(LOCAL_SILENCE_NANOS - 1, peer("a", "north", 1, 6, false));
      assertThat(registry.live(LOCAL_SILENCE_NANOS), hasSize(1));
    }

    @Test
    void omitsItFromServingInstancesWhileItIsLeaving() {
      registry.recordDirect(0, peer("a", "north", 1, 1, true));
      assertThat(registry.serving(1), is(empty()));
    }

    @Test
    void acceptsNewIncarnationsFromTheInstanceItselfEvenIfItsClockWentBack() {
      registry.recordDirect(0, peer("a", "north", 9, 50, true));
      registry.recordDirect(1, peer("a", "north", 8, 1, false));
      assertThat(registry.serving(2), hasSize(1));
    }

    @Test
    void ignoresRelayedRecordsOfAnEarlierIncarnation() {
      registry.recordDirect(0, peer("a", "north", 9, 1, false));
      registry.recordRelayed(1, peer("a", "north", 8, 99, true));
      assertThat(registry.serving(2), hasSize(1));
    }
  }

  @Test
  void waitsLongerForAnInstanceOfAnotherRegion() {
    registry.recordDirect(0, peer("a", "south", 1, 1, false));
    assertThat(registry.live(LOCAL_SILENCE_NANOS), hasSize(1));
    assertThat(registry.live(PeerRegistry.REMOTE_SILENCE_NANOS), is(empty()));
  }

  @Test
  void doesNotContainItself() {
    registry.recordDirect(0, peer("self", "north", 1, 1, false));
    assertThat(registry.known(0), is(empty()));
  }

  @Test
  void marksAllAsSilentAfterPauses() {
    registry.recordDirect(0, peer("a", "south", 1, 1, false));
    registry.expireAll(10);
    assertThat(registry.live(11), is(empty()));
  }
}
