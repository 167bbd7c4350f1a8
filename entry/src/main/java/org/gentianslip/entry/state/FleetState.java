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
 * The state of this instance: its settings, the instance list, and its view of engines, peers and
 * other regions.
 *
 * <p>Settings and instance list are immutable values that are replaced as a whole. Safe for use by
 * several threads.
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

  /** Creates the state of an instance that has no settings and no instance list yet. */
  public FleetState(EntryPlace place, Incarnation incarnation) {
    this.place = place;
    this.incarnation = incarnation;
    this.engines = new EngineTable(place.region());
    this.membership = new Membership(place);
    this.backoff = new RegionBackoff(incarnation.value());
  }

  /** Returns the configuration of this instance. */
  public EntryPlace place() {
    return place;
  }

  /** Returns the incarnation of this process. */
  public Incarnation incarnation() {
    return incarnation;
  }

  /** Returns the settings in force, or null before the first revision. */
  public Settings settings() {
    return settings.get();
  }

  /** Puts settings in force; the caller ensures that they are later than the current ones. */
  public void putSettings(Settings next) {
    settings.set(next);
  }

  /** Returns the latest instance list received. */
  public InstanceList instanceList() {
    return list.get();
  }

  /** Records the version of the instance list that a peer of the region uses. */
  public void notePeersList(long version) {
    peersListVersion.accumulateAndGet(version, Math::max);
  }

  /**
   * Returns the highest version of the region's instance list that a peer is known to use, or 0.
   */
  public long peersListVersion() {
    return peersListVersion.get();
  }

  /** Applies an instance list if it is later than the current one. */
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

  /** Returns the view of the other instances. */
  public Membership membership() {
    return membership;
  }

  /** Returns the capacity reports of the other regions. */
  public RegionBook regions() {
    return regions;
  }

  /** Returns the backoff that reduces the requests to regions after failures. */
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

  /** Marks the settings in force as the latest available; this is never undone. */
  public void settle() {
    settled.set(true);
  }

  /**
   * Returns whether this instance has the latest settings and an instance list, as it needs to
   * serve.
   */
  public boolean informed() {
    return settled.get() && settings.get() != null && list.get().version() > 0;
  }

  /** Returns whether this instance accepts new work. */
  public boolean ready() {
    return informed() && !leaving.get();
  }

  /**
   * Marks all observations of peers, engines and regions as outdated, after a pause of this
   * process.
   */
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

  /** Returns the backend servers of a service in the own region that accept new calls. */
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

  /** Returns the state that the routing policy decides by. */
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
   * Recomputes this instance's shares of engines, of other regions' spare capacity and of links.
   *
   * <p>Must be called periodically, because the shares depend on which instances are live.
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
