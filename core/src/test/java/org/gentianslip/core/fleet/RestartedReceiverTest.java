package org.gentianslip.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against changes that an instance never gets as its former process had got them. */
@DisplayName("An instance that restarts and first hears what its former process lacked")
class RestartedReceiverTest {

  private static final InstanceId SENDER = InstanceId.of("sender");
  private static final InstanceId RECEIVER = InstanceId.of("receiver");
  private static final InstanceId OTHER = InstanceId.of("other");

  private final PeerRecord sender = record(SENDER, 1);
  private final FleetView senderView = new FleetView(sender);

  private static PeerRecord record(InstanceId id, long incarnation) {
    return new PeerRecord(
        id,
        incarnation,
        1,
        RegionId.of("north"),
        DataCentreId.of("north-a"),
        id.value() + ":1",
        id.value() + ":2",
        id.value() + ":3",
        36,
        true,
        false);
  }

  /** Sends what the receiver lacks, and the response. */
  private void exchange(PeerRecord receiver, FleetView view) {
    view.apply(0, senderView.compose(0, sender, RECEIVER));
    senderView.apply(0, view.compose(0, receiver, SENDER));
  }

  private static List<InstanceId> known(FleetView view) {
    return view.known(0).stream().map(PeerRecord::id).toList();
  }

  @Test
  void getsAllChangesWithTheSecondMessage() {
    PeerRecord first = record(RECEIVER, 7);
    FleetView firstView = new FleetView(first);
    senderView.apply(0, new FleetView(record(OTHER, 1)).introduction(record(OTHER, 1)));
    exchange(first, firstView);
    exchange(first, firstView);
    assertThat(known(firstView), hasItem(OTHER));

    PeerRecord second = record(RECEIVER, 8);
    FleetView secondView = new FleetView(second);
    exchange(second, secondView);
    exchange(second, secondView);
    assertThat(known(secondView), hasItem(OTHER));
  }

  @Test
  void acknowledgesNothingOfMessageForItsFormerProcess() {
    var cursors = new SyncCursors();
    cursors.record(SENDER, new SyncAck(1, 510), new SyncAck(7, 20), 8);
    assertThat(cursors.receivedFrom(SENDER), is(new SyncAck(1, 0)));
  }

  @Test
  void keepsWhatItHasAcknowledgedItself() {
    var cursors = new SyncCursors();
    cursors.record(SENDER, new SyncAck(1, 300), new SyncAck(8, 20), 8);
    cursors.record(SENDER, new SyncAck(1, 510), new SyncAck(7, 20), 8);
    assertThat(cursors.receivedFrom(SENDER), is(new SyncAck(1, 300)));
  }

  @Test
  void acknowledgesTheFirstMessageOfSenderThatHasHeardNothing() {
    var cursors = new SyncCursors();
    cursors.record(SENDER, new SyncAck(1, 510), SyncAck.NONE, 8);
    assertThat(cursors.receivedFrom(SENDER), is(new SyncAck(1, 510)));
  }
}
