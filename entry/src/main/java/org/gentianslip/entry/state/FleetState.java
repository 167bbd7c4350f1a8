package org.gentianslip.entry.state;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Predicate;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.Incarnation;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.limit.EngineShare;
import org.gentianslip.core.membership.InstanceState;
import org.gentianslip.core.membership.MembershipTable;
import org.gentianslip.core.membership.RegionBackoff;
import org.gentianslip.core.routing.EngineView;
import org.gentianslip.core.routing.RegionSummary;
import org.gentianslip.core.routing.RoutingView;
import org.gentianslip.entry.configservice.BackendRecord;
import org.gentianslip.entry.configservice.InstanceList;
import org.gentianslip.entry.configservice.InstanceRecord;
import org.gentianslip.entry.process.EntryPlace;
import org.gentianslip.settings.Region;
import org.gentianslip.settings.RegionLink;
import org.gentianslip.settings.SettingCatalog;
import org.gentianslip.settings.Settings;

/**
 * Holds all that this instance knows.
 *
 * <p>Settings and list are immutable values that are swapped as a whole. Safe for use by several
 * threads.
 */
public final class FleetState {

  private static final double BYTES_PER_MEGABIT = 125_000;

  private final EntryPlace place;
  private final Incarnation incarnation;
  private final AtomicReference<Settings> settings = new AtomicReference<>();
  private final AtomicReference<InstanceList> list = new AtomicReference<>(InstanceList.NONE);
  private final EngineTable engines;
  private final Membership membership;
  private final RegionBook regions = new RegionBook();
  private final RegionBackoff backoff;
  private final AtomicBoolean settled = new AtomicBoolean();
  private volatile EngineShare awayShare = EngineShare.equal(0, 1);
  private final AtomicBoolean leaving = new AtomicBoolean();
  private final AtomicLong peersListVersion = new AtomicLong();

  /** Creates the state of an instance that knows nothing yet. */
  public FleetState(EntryPlace place, Incarnation incarnation) {
    this.place = place;
    this.incarnation = incarnation;
    this.engines = new EngineTable(place.region());
    this.membership = new Membership(place);
    this.backoff = new RegionBackoff(incarnation.value());
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

  /** Puts settings in force; the caller sees to it that they are later than the present ones. */
  public void putSettings(Settings next) {
    settings.set(next);
  }

  /** Returns the platform's list, as far as it is known. */
  public InstanceList instanceList() {
    return list.get();
  }

  /** Notes the version of the list that a peer of the region uses. */
  public void notePeersList(long version) {
    peersListVersion.accumulateAndGet(version, Math::max);
  }

  /** Returns the greatest version of the region's list that a peer is known to use, or 0. */
  public long peersListVersion() {
    return peersListVersion.get();
  }

  /** Takes a list if it is later than the known one. */
  public synchronized void updateInstanceList(long nowNanos, InstanceList next) {
    if (next.version() <= list.get().version()) {
      return;
    }
    list.set(next);
    engines.update(nowNanos, next);
    membership.takeList(nowNanos, next);
  }

  /** Returns the model engines of the own region. */
  public EngineTable engines() {
    return engines;
  }

  /** Returns what is believed of the other instances. */
  public Membership membership() {
    return membership;
  }

  /** Returns what is known of the other regions. */
  public RegionBook regions() {
    return regions;
  }

  /** Returns which regions get a smaller share of requests for now. */
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

  /** Notes that the settings in force are the latest that can be known; this is never undone. */
  public void settle() {
    settled.set(true);
  }

  /** Returns whether this instance knows its settings and the list well enough to serve. */
  public boolean informed() {
    return settled.get() && settings.get() != null && list.get().version() > 0;
  }

  /** Returns whether this instance takes new work. */
  public boolean ready() {
    return informed() && !leaving.get();
  }

  /** Makes all beliefs count as old, after a pause of this process. */
  public void forgetAfterPause(long nowNanos) {
    membership.update(t -> t.withPause(nowNanos));
    regions.clear();
    engines.forgetLoads();
  }

  /** Returns the share of the region's engines that this instance keeps busy, from 0 to 1. */
  public double busyShare(long nowNanos) {
    int slots = 0;
    int inFlight = 0;
    for (EngineView view : engines.views(nowNanos)) {
      slots += view.usable() ? view.slots() : 0;
      inFlight += view.inFlight();
    }
    return slots == 0 ? 0 : Math.min(1.0, (double) inFlight / slots);
  }

  /** Returns the backend servers of a service in the own region that take new calls. */
  public List<BackendRecord> serviceBackends(long nowNanos, String service) {
    return list.get().backends().stream()
        .filter(b -> !b.model() && b.live())
        .filter(b -> !engines.isMarked(nowNanos, EngineId.of(b.id())))
        .filter(b -> service.equals(b.service()))
        .filter(b -> b.region().equals(place.region().value()))
        .toList();
  }

  /** Returns the listed instances of a region that are live and not known to be leaving. */
  public List<InstanceRecord> entriesOf(long nowNanos, RegionId region) {
    MembershipTable table = membership.table();
    return list.get().entries().stream()
        .filter(e -> e.region().equals(region.value()) && e.live())
        .filter(e -> table.stateOf(nowNanos, InstanceId.of(e.id())) == InstanceState.LIVE)
        .toList();
  }

  /** Returns what the routing policy may know. */
  public RoutingView view(long nowNanos, long requestHash) {
    return new RoutingView(
        place.region(), engines.views(nowNanos), summaries(nowNanos, requestHash));
  }

  private List<RegionSummary> summaries(long nowNanos, long requestHash) {
    Settings current = settings.get();
    if (current == null) {
      return List.of();
    }
    List<RegionSummary> summaries = new ArrayList<>();
    for (Region region : current.regions()) {
      if (!region.id().equals(place.region())) {
        boolean open = backoff.admits(nowNanos, region.id(), requestHash);
        summaries.add(regions.summary(nowNanos, region.id(), awayShare, open));
      }
    }
    return summaries;
  }

  /**
   * Works out this instance's shares of engines, of other regions' spare capacity and of links.
   *
   * <p>To be called from time to time, since shares follow the instances that are believed live.
   */
  public void refreshShares(long nowNanos) {
    List<String> own = liveIds(nowNanos, e -> e.region().equals(place.region().value()));
    List<String> all = liveIds(nowNanos, e -> true);
    EngineShare share = shareAmong(own);
    engines.takeShare(nowNanos, share);
    awayShare = shareAmong(all);
    Settings current = settings.get();
    if (current != null) {
      limitLinks(nowNanos, current, own.size());
    }
  }

  private List<String> liveIds(long nowNanos, Predicate<InstanceRecord> filter) {
    MembershipTable table = membership.table();
    List<String> ids = new ArrayList<>();
    for (InstanceRecord e : list.get().entries()) {
      InstanceId id = InstanceId.of(e.id());
      boolean live = e.live() && table.stateOf(nowNanos, id) == InstanceState.LIVE;
      if (filter.test(e) && live && !id.equals(place.instance())) {
        ids.add(e.id());
      }
    }
    ids.add(place.instance().value());
    ids.sort(null);
    return ids;
  }

  private EngineShare shareAmong(List<String> ids) {
    return EngineShare.equal(ids.indexOf(place.instance().value()), ids.size());
  }

  private void limitLinks(long nowNanos, Settings current, int instances) {
    double budget =
        current.effectiveForInstance(place.region()).get(SettingCatalog.LINK_BUDGET_SHARE);
    for (RegionLink link : current.links()) {
      RegionId other = link.first().equals(place.region()) ? link.second() : link.first();
      boolean touches = link.first().equals(place.region()) || link.second().equals(place.region());
      if (touches && budget > 0) {
        double share = link.megabitsPerSecond() * BYTES_PER_MEGABIT * budget / instances;
        regions.limit(nowNanos, other, share);
      }
    }
  }
}
