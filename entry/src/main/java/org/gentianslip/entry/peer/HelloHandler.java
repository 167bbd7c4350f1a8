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
import org.gentianslip.entry.state.RegionCapacityReport;

/**
 * Applies hellos received from peers to the state of this instance.
 *
 * <p>Nothing in a hello is treated as authoritative. Safe for use by several threads.
 */
final class HelloHandler {

  private final FleetState state;
  private final SettingsUpdater settingsUpdater;
  private final Runnable announceToPeers;

  /**
   * Creates a handler.
   *
   * @param announceToPeers propagates a change to the peers at once
   */
  HelloHandler(FleetState state, SettingsUpdater settingsUpdater, Runnable announceToPeers) {
    this.state = state;
    this.settingsUpdater = settingsUpdater;
    this.announceToPeers = announceToPeers;
  }

  /**
   * Applies the reply to a hello of this instance.
   *
   * @throws IllegalArgumentException if a field has no valid form
   */
  void onReply(long nowNanos, long roundTripNanos, Hello hello) {
    Heartbeat heartbeat = heartbeat(hello);
    state
        .membership()
        .update(t -> withHints(nowNanos, t.withHelloAnswer(nowNanos, heartbeat), hello));
    applyContent(nowNanos, roundTripNanos, hello);
  }

  /**
   * Applies a hello that a peer sent and that is not a reply.
   *
   * @throws IllegalArgumentException if a field has no valid form
   */
  void onHello(long nowNanos, Hello hello) {
    Heartbeat heartbeat = heartbeat(hello);
    state.membership().update(t -> withHints(nowNanos, t.withHello(nowNanos, heartbeat), hello));
    applyContent(nowNanos, 0, hello);
  }

  private void applyContent(long nowNanos, long roundTripNanos, Hello hello) {
    applyRegions(nowNanos, roundTripNanos, hello);
    applyLeavingEngines(nowNanos, hello);
    if (hello.region().equals(state.config().region().value())) {
      state.recordPeerListVersion(hello.listVersion());
    }
    if (hello.settingsRevision() > 0) {
      settingsUpdater.onPeerAnnouncement(
          nowNanos,
          InstanceId.of(hello.id()),
          new ManifestRef(Revision.of(hello.settingsRevision()), hello.settingsSha256()));
    }
  }

  private static MembershipTable withHints(long nowNanos, MembershipTable table, Hello hello) {
    return table.withHints(nowNanos, hello.hints().stream().map(HelloHandler::hint).toList());
  }

  private static Hint hint(Hello.HintPart part) {
    return new Hint(
        InstanceId.of(part.id()),
        Incarnation.parse(part.incarnation()),
        part.beat(),
        Hint.Kind.valueOf(part.kind()));
  }

  /**
   * Returns the heartbeat of a hello. If the instance is a known member, its addresses are those of
   * the membership table, not those of the hello.
   */
  private Heartbeat heartbeat(Hello hello) {
    InstanceId id = InstanceId.of(hello.id());
    InstanceInfo reported =
        new InstanceInfo(
            id,
            RegionId.of(hello.region()),
            DataCentreId.of(hello.dataCentre()),
            hello.callerAddress(),
            hello.peerAddress());
    InstanceInfo info = state.membership().table().member(id).map(m -> m.info()).orElse(reported);
    return new Heartbeat(
        info,
        Incarnation.parse(hello.incarnation()),
        hello.beat(),
        hello.leaving(),
        Math.max(0, Math.min(1, hello.busyShare())));
  }

  private void applyRegions(long nowNanos, long roundTripNanos, Hello hello) {
    for (Hello.RegionPart part : hello.regions()) {
      RegionId region = RegionId.of(part.region());
      if (region.equals(state.config().region())) {
        continue;
      }
      boolean sendersRegion = part.region().equals(hello.region());
      long regionRoundTripNanos =
          sendersRegion ? roundTripNanos : TimeUnit.MILLISECONDS.toNanos(part.roundTripMillis());
      long seenNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(part.ageMillis());
      state
          .regions()
          .applyReport(
              new RegionCapacityReport(region, part.freeSlots(), seenNanos, regionRoundTripNanos));
    }
  }

  private void applyLeavingEngines(long nowNanos, Hello hello) {
    if (!hello.region().equals(state.config().region().value())) {
      return;
    }
    boolean changed = false;
    for (Hello.EnginePart part : hello.leavingEngines()) {
      long seenNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(part.ageMillis());
      changed |= state.engines().markLeaving(EngineId.of(part.engine()), seenNanos);
    }
    if (changed) {
      announceToPeers.run();
    }
  }
}
