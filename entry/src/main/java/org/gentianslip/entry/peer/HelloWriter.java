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
import org.gentianslip.entry.state.RegionReport;

/** Writes what this instance tells its peers. Safe for use by several threads. */
final class HelloWriter {

  private static final int MAX_HINTS = 8;

  private final FleetState state;
  private final SettingsUpdater intake;
  private final AtomicLong beat = new AtomicLong();

  HelloWriter(FleetState state, SettingsUpdater intake) {
    this.state = state;
    this.intake = intake;
  }

  Hello write(long nowNanos) {
    var self = state.membership().self();
    ManifestRef ref = intake.acceptedManifest();
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
    int free = state.leaving() ? 0 : state.engines().freeSlots(nowNanos);
    parts.add(new Hello.RegionPart(state.place().region().value(), free, 0, 0));
    for (RegionReport r : state.regions().all()) {
      parts.add(
          new Hello.RegionPart(
              r.region().value(),
              r.freeSlots(),
              ageMillis(nowNanos, r.seenNanos()),
              TimeUnit.NANOSECONDS.toMillis(r.roundTripNanos())));
    }
    return parts;
  }

  private List<Hello.EnginePart> leavingEngines(long nowNanos) {
    return state.engines().marks(nowNanos).stream()
        .map(m -> new Hello.EnginePart(m.engine().value(), ageMillis(nowNanos, m.seenNanos())))
        .toList();
  }

  /** Returns hints; that an instance was heard is told only where not all hear each other. */
  private List<Hello.HintPart> hints(long nowNanos) {
    MembershipTable table = state.membership().table();
    RegionId own = state.place().region();
    long others = table.members().stream().filter(m -> m.info().region().equals(own)).count();
    boolean tellHeard = others > HelloExchange.ALL_UP_TO;
    return table.hints(nowNanos, MAX_HINTS).stream()
        .filter(h -> tellHeard || h.kind() != Hint.Kind.HEARD)
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
