package org.gentianslip.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gentianslip.core.fleet.DataCentreSummary;
import org.gentianslip.core.fleet.FleetView;
import org.gentianslip.core.fleet.PeerRecord;
import org.gentianslip.core.fleet.SyncAck;
import org.gentianslip.core.fleet.SyncMessage;
import org.gentianslip.core.fleet.WireVersion;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.ServiceId;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against work that is forwarded to overloaded instances as to others. */
@DisplayName("The choice of an instance of another region")
class ForwardTargetsTest {

  private static final RegionId NORTH = RegionId.of("north");
  private static final RegionId SOUTH = RegionId.of("south");
  private static final DataCentreId CENTRE = DataCentreId.of("south-a");
  private static final ServiceId DESK = ServiceId.of("desk");
  private static final int DRAWS = 11_000;

  private final FleetView view = new FleetView(record("n1", NORTH, 100, 1));
  private final ForwardTargets targets = new ForwardTargets(view, NORTH);

  private static PeerRecord record(String id, RegionId region, int capacity, long beat) {
    return record(id, region, capacity, beat, Set.of());
  }

  private static PeerRecord record(
      String id, RegionId region, int capacity, long beat, Set<ServiceId> unreached) {
    return new PeerRecord(
        InstanceId.of(id),
        1,
        beat,
        region,
        CENTRE,
        id,
        id,
        id,
        capacity,
        true,
        false,
        100,
        unreached,
        WireVersion.CURRENT);
  }

  private void hear(String id, int capacity, long beat) {
    hear(id, capacity, beat, Set.of());
  }

  private void hear(String id, int capacity, long beat, Set<ServiceId> unreached) {
    var summary = new DataCentreSummary(CENTRE, SOUTH, beat, Map.of(), Map.of());
    var message =
        new SyncMessage(
            record(id, SOUTH, capacity, beat, unreached),
            beat,
            SyncAck.NONE,
            List.of(),
            List.of(summary));
    view.apply(0, message);
  }

  private long draws(String id) {
    long drawn = 0;
    for (int i = 0; i < DRAWS; i++) {
      PeerRecord peer = targets.selectInstance(0, SOUTH, DESK).orElseThrow();
      drawn += peer.id().equals(InstanceId.of(id)) ? 1 : 0;
    }
    return drawn;
  }

  @Test
  void followsThePresentCapacities() {
    hear("s1", 100, 1);
    hear("s2", 10, 2);
    assertThat(draws("s2"), is(allOf(greaterThan(700L), lessThan(1_300L))));
  }

  @Test
  void returnsToAnInstanceThatStatesItsFullCapacityAgain() {
    hear("s1", 100, 1);
    hear("s2", 10, 2);
    hear("s2", 100, 3);
    assertThat(draws("s2"), is(allOf(greaterThan(5_000L), lessThan(6_000L))));
  }

  @Test
  void isNeverAnInstanceThatDoesNotReachTheService() {
    hear("s1", 100, 1);
    hear("s2", 100, 2, Set.of(DESK));
    assertThat(draws("s2"), is(0L));
  }

  @Test
  void isEmptyIfNoInstanceReachesTheService() {
    hear("s1", 100, 1, Set.of(DESK));
    assertThat(targets.selectInstance(0, SOUTH, DESK), is(Optional.empty()));
  }

  @Test
  void isAnyInstanceIfCapacitiesCannotBe() {
    hear("s1", 0, 1);
    assertThat(draws("s1"), is((long) DRAWS));
  }
}
