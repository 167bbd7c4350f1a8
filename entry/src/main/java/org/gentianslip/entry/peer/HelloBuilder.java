package org.gentianslip.entry.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.membership.Hint;
import org.gentianslip.core.membership.MembershipTable;
import org.gentianslip.core.revision.ManifestRef;
import org.gentianslip.entry.configservice.SettingsUpdater;
import org.gentianslip.entry.state.FleetState;
import org.gentianslip.entry.state.RegionCapacityReport;

/** Builds the hellos of this instance. Safe for use by several threads. */
final class HelloBuilder {

  private static final int MAX_HINTS = 8;

  private final FleetState state;
  private final SettingsUpdater settingsUpdater;
  private final AtomicLong beat = new AtomicLong();

  HelloBuilder(FleetState state, SettingsUpdater settingsUpdater) {
    this.state = state;
    this.settingsUpdater = settingsUpdater;
  }

  Hello build(long nowNanos) {
    var self = state.membership().self();
    ManifestRef ref = settingsUpdater.acceptedManifest();
    return new Hello(
        self.id().value(),
        self.region().value(),
        self.dataCentre().value(),
        self.callerAddress(),
        self.peerAddress(),
        state.incarnation().toString(),
        beat.incrementAndGet(),
        state.leaving(),
        state.busyShare(nowNanos),
        ref.revision().value(),
        ref.sha256(),
        state.instanceList().version(),
        regions(nowNanos),
        leavingEngines(nowNanos),
        hints(nowNanos));
  }

  private List<Hello.RegionPart> regions(long nowNanos) {
    List<Hello.RegionPart> parts = new ArrayList<>();
    int freeSlots = state.leaving() ? 0 : state.engines().freeSlots(nowNanos);
    parts.add(new Hello.RegionPart(state.config().region().value(), freeSlots, 0, 0));
    for (RegionCapacityReport report : state.regions().reports()) {
      parts.add(
          new Hello.RegionPart(
              report.region().value(),
              report.freeSlots(),
              ageMillis(nowNanos, report.seenNanos()),
              TimeUnit.NANOSECONDS.toMillis(report.roundTripNanos())));
    }
    return parts;
  }

  private List<Hello.EnginePart> leavingEngines(long nowNanos) {
    return state.engines().leavingMarks(nowNanos).stream()
        .map(m -> new Hello.EnginePart(m.engine().value(), ageMillis(nowNanos, m.seenNanos())))
        .toList();
  }

  /**
   * Returns the hints to send. Hints of kind {@code HEARD} are sent only in regions that are too
   * large for all instances to exchange hellos.
   */
  private List<Hello.HintPart> hints(long nowNanos) {
    MembershipTable table = state.membership().table();
    RegionId localRegion = state.config().region();
    long regionPeers =
        table.members().stream().filter(m -> m.info().region().equals(localRegion)).count();
    boolean includeHeard = regionPeers > HelloExchange.FULL_MESH_MAX_PEERS;
    return table.hints(nowNanos, MAX_HINTS).stream()
        .filter(h -> includeHeard || h.kind() != Hint.Kind.HEARD)
        .map(
            h ->
                new Hello.HintPart(
                    h.id().value(), h.incarnation().toString(), h.beat(), h.kind().name()))
        .toList();
  }

  private static long ageMillis(long nowNanos, long seenNanos) {
    return Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos - seenNanos));
  }
}
