package org.gentianslip.entry.state;

import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.gentianslip.core.id.Incarnation;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.routing.RegionSummary;
import org.gentianslip.core.routing.RouteView;
import org.gentianslip.entry.platform.BackendRecord;
import org.gentianslip.entry.platform.EntryRecord;
import org.gentianslip.entry.platform.InstanceList;
import org.gentianslip.entry.process.EntryPlace;
import org.gentianslip.settings.Settings;

/**
 * Holds all that this instance knows.
 *
 * <p>Settings and list are immutable values that are swapped as a whole and only upwards. Safe for
 * use by several threads.
 */
public final class FleetState {

  private final EntryPlace place;
  private final Incarnation incarnation;
  private final AtomicReference<Settings> settings = new AtomicReference<>();
  private final AtomicReference<InstanceList> list = new AtomicReference<>(InstanceList.NONE);
  private final EngineTable engines;
  private final PeerTable peers = new PeerTable();
  private final RegionBackoff backoff = new RegionBackoff();
  private final AtomicBoolean leaving = new AtomicBoolean();

  /** Creates the state of an instance that knows nothing yet. */
  public FleetState(EntryPlace place, Incarnation incarnation) {
    this.place = place;
    this.incarnation = incarnation;
    this.engines = new EngineTable(place.region());
  }

  /** Returns the place of this instance. */
  public EntryPlace place() {
    return place;
  }

  /** Returns the incarnation of this process. */
  public Incarnation incarnation() {
    return incarnation;
  }

  /** Returns the settings in force, or null before the first. */
  public Settings settings() {
    return settings.get();
  }

  /**
   * Takes settings if they are later than those in force.
   *
   * @return whether they were taken
   */
  public boolean adopt(Settings next) {
    while (true) {
      Settings now = settings.get();
      if (now != null && !next.revision().isAfter(now.revision())) {
        return false;
      }
      if (settings.compareAndSet(now, next)) {
        return true;
      }
    }
  }

  /** Returns the platform's list, as far as it is known. */
  public InstanceList list() {
    return list.get();
  }

  /** Takes a list if it is later than the known one. */
  public synchronized void update(InstanceList next) {
    if (next.version() <= list.get().version()) {
      return;
    }
    list.set(next);
    engines.update(next);
  }

  /** Returns the model engines of the own region. */
  public EngineTable engines() {
    return engines;
  }

  /** Returns the other instances. */
  public PeerTable peers() {
    return peers;
  }

  /** Returns which regions refuse work for now. */
  public RegionBackoff backoff() {
    return backoff;
  }

  /** Returns whether this instance is leaving. */
  public boolean leaving() {
    return leaving.get();
  }

  /** Marks this instance as leaving. */
  public void leave() {
    leaving.set(true);
  }

  /** Returns whether this instance has all that it needs to serve. */
  public boolean ready() {
    return settings.get() != null && list.get().version() > 0 && !leaving.get();
  }

  /** Returns the backend servers of a service in the own region that take new calls. */
  public List<BackendRecord> serviceBackends(String service) {
    return list.get().backends().stream()
        .filter(b -> !b.model() && b.live())
        .filter(b -> service.equals(b.service()))
        .filter(b -> b.region().equals(place.region().value()))
        .toList();
  }

  /** Returns the listed instances of a region that are live and not known to be leaving. */
  public List<EntryRecord> entriesOf(String region) {
    return list.get().entries().stream()
        .filter(e -> e.region().equals(region) && e.live())
        .toList();
  }

  /** Returns what the routing policy may know. */
  public RouteView view(long nowNanos) {
    return new RouteView(place.region(), engines.views(nowNanos), summaries(nowNanos));
  }

  private List<RegionSummary> summaries(long nowNanos) {
    Settings current = settings.get();
    if (current == null) {
      return List.of();
    }
    return current.regions().stream()
        .filter(r -> !r.id().equals(place.region()))
        .map(r -> summary(nowNanos, r.id()))
        .toList();
  }

  private RegionSummary summary(long nowNanos, RegionId region) {
    var ids = entriesOf(region.value()).stream().map(EntryRecord::id).toList();
    PeerState best = null;
    for (PeerState peer : peers.freshOf(nowNanos, ids)) {
      if (!peer.leaving() && (best == null || peer.heardNanos() - best.heardNanos() > 0)) {
        best = peer;
      }
    }
    if (best == null) {
      return new RegionSummary(region, 0, 0, 0, false);
    }
    return new RegionSummary(
        region,
        best.freeSlots(),
        best.heardNanos(),
        best.roundTripNanos(),
        !backoff.closed(nowNanos, region));
  }
}
