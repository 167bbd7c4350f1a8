package org.gentianslip.entry.peer;

import java.util.concurrent.TimeUnit;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.Incarnation;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.Revision;
import org.gentianslip.core.membership.Heartbeat;
import org.gentianslip.core.membership.Hint;
import org.gentianslip.core.membership.InstanceInfo;
import org.gentianslip.core.membership.MembershipTable;
import org.gentianslip.core.revision.ManifestRef;
import org.gentianslip.entry.configservice.SettingsUpdater;
import org.gentianslip.entry.state.FleetState;
import org.gentianslip.entry.state.RegionReport;

/**
 * Takes what a peer tells into the state of this instance.
 *
 * <p>Everything taken is a hint. Safe for use by several threads.
 */
final class HelloReader {

  private final FleetState state;
  private final SettingsUpdater intake;
  private final Runnable announce;

  /**
   * Creates a reader.
   *
   * @param announce passes news on to the peers at once
   */
  HelloReader(FleetState state, SettingsUpdater intake, Runnable announce) {
    this.state = state;
    this.intake = intake;
    this.announce = announce;
  }

  /**
   * Takes an answer to a hello of this instance.
   *
   * @throws IllegalArgumentException if a part has no valid form
   */
  void answered(long nowNanos, long roundTripNanos, Hello hello) {
    Heartbeat heartbeat = heartbeat(hello);
    state.membership().update(t -> withHints(nowNanos, t.withAnswer(nowNanos, heartbeat), hello));
    takeRest(nowNanos, roundTripNanos, hello);
  }

  /**
   * Takes a hello that a peer sent.
   *
   * @throws IllegalArgumentException if a part has no valid form
   */
  void called(long nowNanos, Hello hello) {
    Heartbeat heartbeat = heartbeat(hello);
    state.membership().update(t -> withHints(nowNanos, t.withCall(nowNanos, heartbeat), hello));
    takeRest(nowNanos, 0, hello);
  }

  private void takeRest(long nowNanos, long roundTripNanos, Hello hello) {
    takeRegions(nowNanos, roundTripNanos, hello);
    takeLeavingEngines(nowNanos, hello);
    if (hello.region().equals(state.place().region().value())) {
      state.notePeersList(hello.listVersion());
    }
    if (hello.settingsRevision() > 0) {
      intake.onPeerAnnouncement(
          nowNanos,
          InstanceId.of(hello.id()),
          new ManifestRef(Revision.of(hello.settingsRevision()), hello.settingsSha256()));
    }
  }

  private static MembershipTable withHints(long nowNanos, MembershipTable table, Hello hello) {
    return table.withHints(nowNanos, hello.hints().stream().map(HelloReader::hint).toList());
  }

  private static Hint hint(Hello.HintPart part) {
    return new Hint(
        InstanceId.of(part.id()),
        Incarnation.parse(part.incarnation()),
        part.beat(),
        Hint.Kind.valueOf(part.kind()));
  }

  /** Returns the heartbeat, with the addresses of the list where the list has the instance. */
  private Heartbeat heartbeat(Hello hello) {
    InstanceId id = InstanceId.of(hello.id());
    InstanceInfo told =
        new InstanceInfo(
            id,
            RegionId.of(hello.region()),
            DataCentreId.of(hello.dataCentre()),
            hello.callerAddress(),
            hello.peerAddress());
    InstanceInfo info = state.membership().table().member(id).map(m -> m.info()).orElse(told);
    return new Heartbeat(
        info,
        Incarnation.parse(hello.incarnation()),
        hello.beat(),
        hello.leaving(),
        Math.max(0, Math.min(1, hello.busyShare())));
  }

  private void takeRegions(long nowNanos, long roundTripNanos, Hello hello) {
    for (Hello.RegionPart part : hello.regions()) {
      RegionId region = RegionId.of(part.region());
      if (region.equals(state.place().region())) {
        continue;
      }
      boolean own = part.region().equals(hello.region());
      long roundTrip = own ? roundTripNanos : TimeUnit.MILLISECONDS.toNanos(part.roundTripMillis());
      long seen = nowNanos - TimeUnit.MILLISECONDS.toNanos(part.ageMillis());
      state.regions().take(new RegionReport(region, part.freeSlots(), seen, roundTrip));
    }
  }

  private void takeLeavingEngines(long nowNanos, Hello hello) {
    if (!hello.region().equals(state.place().region().value())) {
      return;
    }
    boolean news = false;
    for (Hello.EnginePart part : hello.leavingEngines()) {
      long seen = nowNanos - TimeUnit.MILLISECONDS.toNanos(part.ageMillis());
      news |= state.engines().markLeaving(EngineId.of(part.engine()), seen);
    }
    if (news) {
      announce.run();
    }
  }
}
