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

@DisplayName("A peer book")
class PeerBookTest {

  private static final long NEAR = PeerRegistry.NEAR_SILENT_NANOS;

  private final PeerRegistry book = new PeerRegistry(InstanceId.of("self"), RegionId.of("north"));

  private static PeerRecord peer(String id, String region, long life, long beat, boolean leaving) {
    return new PeerRecord(
        InstanceId.of(id),
        life,
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
  class Near {

    @Test
    void countsItAsLiveUntilItIsSilentForLong() {
      book.recordDirect(0, peer("a", "north", 1, 1, false));
      assertThat(book.live(NEAR - 1), hasSize(1));
      assertThat(book.live(NEAR), is(empty()));
    }

    @Test
    void doesNotCountAnOldRecordAsSignOfLife() {
      book.recordDirect(0, peer("a", "north", 1, 5, false));
      book.recordRelayed(NEAR - 1, peer("a", "north", 1, 5, false));
      assertThat(book.live(NEAR), is(empty()));
    }

    @Test
    void countsNewerRecordFromAnotherInstance() {
      book.recordDirect(0, peer("a", "north", 1, 5, false));
      book.recordRelayed(NEAR - 1, peer("a", "north", 1, 6, false));
      assertThat(book.live(NEAR), hasSize(1));
    }

    @Test
    void leavesOutOneThatIsLeaving() {
      book.recordDirect(0, peer("a", "north", 1, 1, true));
      assertThat(book.serving(1), is(empty()));
    }

    @Test
    void takesItsOwnWordOfNewLifeThoughItsClockWentBack() {
      book.recordDirect(0, peer("a", "north", 9, 50, true));
      book.recordDirect(1, peer("a", "north", 8, 1, false));
      assertThat(book.serving(2), hasSize(1));
    }

    @Test
    void doesNotLetAnEarlierLifeOverwriteLaterOne() {
      book.recordDirect(0, peer("a", "north", 9, 1, false));
      book.recordRelayed(1, peer("a", "north", 8, 99, true));
      assertThat(book.serving(2), hasSize(1));
    }
  }

  @Test
  void waitsLongerForAnInstanceOfAnotherRegion() {
    book.recordDirect(0, peer("a", "south", 1, 1, false));
    assertThat(book.live(NEAR), hasSize(1));
    assertThat(book.live(PeerRegistry.FAR_SILENT_NANOS), is(empty()));
  }

  @Test
  void doesNotHoldItself() {
    book.recordDirect(0, peer("self", "north", 1, 1, false));
    assertThat(book.known(0), is(empty()));
  }

  @Test
  void makesAllSilentAfterPause() {
    book.recordDirect(0, peer("a", "south", 1, 1, false));
    book.expireAll(10);
    assertThat(book.live(11), is(empty()));
  }
}
