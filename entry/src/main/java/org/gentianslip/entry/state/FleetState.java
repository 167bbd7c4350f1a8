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
import org.gentianslip.entry.process.EntryConfig;
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

  private final EntryConfig config;
  private final Incarnation incarnation;
  private final AtomicReference<Settings> settings = new AtomicReference<>();
  private final AtomicReference<InstanceList> instanceList =
      new AtomicReference<>(InstanceList.NONE);
  private final EngineTable engines;
  private final Membership membership;
  private final RegionCapacityTable regions = new RegionCapacityTable();
  private final RegionBackoff backoff;
  private final AtomicBoolean settingsLatest = new AtomicBoolean();
  private volatile EngineShare crossRegionShare = EngineShare.equal(0, 1);
  private final AtomicBoolean leaving = new AtomicBoolean();
  private final AtomicLong maxPeerListVersion = new AtomicLong();

  /** Creates the state of an instance that has no settings and no instance list yet. */
  public FleetState(EntryConfig config, Incarnation incarnation) {
    this.config = config;
    this.incarnation = incarnation;
    this.engines = new EngineTable(config.region());
    this.membership = new Membership(config);
    this.backoff = new RegionBackoff(incarnation.value());
  }

  /** Returns the configuration of this instance. */
  public EntryConfig config() {
    return config;
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
    return instanceList.get();
  }

  /** Records the version of the instance list that a peer of the region uses. */
  public void recordPeerListVersion(long version) {
    maxPeerListVersion.accumulateAndGet(version, Math::max);
  }

  /**
   * Returns the highest version of the region's instance list that a peer is known to use, or 0.
   */
  public long maxPeerListVersion() {
    return maxPeerListVersion.get();
  }

  /** Applies an instance list if it is later than the current one. */
  public synchronized void updateInstanceList(long nowNanos, InstanceList next) {
    if (next.version() <= instanceList.get().version()) {
      return;
    }
    instanceList.set(next);
    engines.update(nowNanos, next);
    membership.applyInstanceList(nowNanos, next);
  }

  /** Returns the model engines of the local region. */
  public EngineTable engines() {
    return engines;
  }

  /** Returns the membership, which is this instance's view of the other instances. */
  public Membership membership() {
    return membership;
  }

  /** Returns the capacity reports of the other regions. */
  public RegionCapacityTable regions() {
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
  public void markLeaving() {
    leaving.set(true);
  }

  /** Marks the settings in force as the latest available; this is never undone. */
  public void markSettingsLatest() {
    settingsLatest.set(true);
  }

  /**
   * Returns whether this instance has the latest settings and an instance list, as it needs to
   * serve.
   */
  public boolean isInitialized() {
    return settingsLatest.get() && settings.get() != null && instanceList.get().version() > 0;
  }

  /** Returns whether this instance accepts new work. */
  public boolean ready() {
    return isInitialized() && !leaving.get();
  }

  /**
   * Marks all observations of peers, engines and regions as outdated, after a pause of this
   * process.
   */
  public void expireAfterPause(long nowNanos) {
    membership.update(t -> t.withPause(nowNanos));
    regions.clear();
    engines.clearLoads();
  }

  /** Returns the share of the region's engine slots that this instance occupies, from 0 to 1. */
  public double busyShare(long nowNanos) {
    int slots = 0;
    int inFlight = 0;
    for (EngineView engine : engines.views(nowNanos)) {
      slots += engine.usable() ? engine.slots() : 0;
      inFlight += engine.inFlight();
    }
    return slots == 0 ? 0 : Math.min(1.0, (double) inFlight / slots);
  }

  /** Returns the backend servers of a service in the local region that accept new calls. */
  public List<BackendRecord> serviceBackends(long nowNanos, String service) {
    return instanceList.get().backends().stream()
        .filter(b -> !b.model() && b.live())
        .filter(b -> !engines.isMarkedLeaving(nowNanos, EngineId.of(b.id())))
        .filter(b -> service.equals(b.service()))
        .filter(b -> b.region().equals(config.region().value()))
        .toList();
  }

  /** Returns the listed instances of a region that are live and not known to be leaving. */
  public List<InstanceRecord> liveInstances(long nowNanos, RegionId region) {
    MembershipTable table = membership.table();
    return instanceList.get().entries().stream()
        .filter(record -> record.region().equals(region.value()) && record.live())
        .filter(record -> table.stateOf(nowNanos, InstanceId.of(record.id())) == InstanceState.LIVE)
        .toList();
  }

  /** Returns the state that the routing policy decides by. */
  public RoutingView routingView(long nowNanos, long requestHash) {
    return new RoutingView(
        config.region(), engines.views(nowNanos), summaries(nowNanos, requestHash));
  }

  private List<RegionSummary> summaries(long nowNanos, long requestHash) {
    Settings current = settings.get();
    if (current == null) {
      return List.of();
    }
    List<RegionSummary> summaries = new ArrayList<>();
    for (Region region : current.regions()) {
      if (!region.id().equals(config.region())) {
        boolean open = backoff.admits(nowNanos, region.id(), requestHash);
        summaries.add(regions.summary(nowNanos, region.id(), crossRegionShare, open));
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
    List<String> own = liveIds(nowNanos, record -> record.region().equals(config.region().value()));
    List<String> all = liveIds(nowNanos, record -> true);
    EngineShare share = shareAmong(own);
    engines.updateShare(nowNanos, share);
    crossRegionShare = shareAmong(all);
    Settings current = settings.get();
    if (current != null) {
      updateLinkLimits(nowNanos, current, own.size());
    }
  }

  private List<String> liveIds(long nowNanos, Predicate<InstanceRecord> filter) {
    MembershipTable table = membership.table();
    List<String> ids = new ArrayList<>();
    for (InstanceRecord record : instanceList.get().entries()) {
      InstanceId id = InstanceId.of(record.id());
      boolean live = record.live() && table.stateOf(nowNanos, id) == InstanceState.LIVE;
      if (filter.test(record) && live && !id.equals(config.instance())) {
        ids.add(record.id());
      }
    }
    ids.add(config.instance().value());
    ids.sort(null);
    return ids;
  }

  private EngineShare shareAmong(List<String> ids) {
    return EngineShare.equal(ids.indexOf(config.instance().value()), ids.size());
  }

  private void updateLinkLimits(long nowNanos, Settings current, int instanceCount) {
    double budgetShare =
        current.effectiveForInstance(config.region()).get(SettingCatalog.LINK_BUDGET_SHARE);
    for (RegionLink link : current.links()) {
      RegionId other = link.first().equals(config.region()) ? link.second() : link.first();
      boolean endsInOwnRegion =
          link.first().equals(config.region()) || link.second().equals(config.region());
      if (endsInOwnRegion && budgetShare > 0) {
        double bytesPerSecond =
            link.megabitsPerSecond() * BYTES_PER_MEGABIT * budgetShare / instanceCount;
        regions.limitRate(nowNanos, other, bytesPerSecond);
      }
    }
  }
}
