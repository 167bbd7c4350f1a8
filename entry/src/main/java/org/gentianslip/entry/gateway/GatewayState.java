package org.gentianslip.entry.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.gentianslip.core.customer.FormerKeys;
import org.gentianslip.core.fleet.FleetView;
import org.gentianslip.core.fleet.PeerRecord;
import org.gentianslip.core.fleet.ServiceWait;
import org.gentianslip.core.fleet.WireVersion;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.id.SoftwareVersion;
import org.gentianslip.core.limit.RepeatWindow;
import org.gentianslip.core.load.BackendLoad;
import org.gentianslip.core.load.Candidates;
import org.gentianslip.core.load.PromptDirectory;
import org.gentianslip.core.load.PromptHolder;
import org.gentianslip.core.load.RegionOption;
import org.gentianslip.core.load.RequestSize;
import org.gentianslip.core.load.ServiceReach;
import org.gentianslip.core.membership.RendezvousHash;
import org.gentianslip.core.published.Backend;
import org.gentianslip.core.published.ConfigurationKnowledge;
import org.gentianslip.core.published.PublishedState;
import org.gentianslip.core.quarantine.PromptQuarantine;
import org.gentianslip.core.route.Route;
import org.gentianslip.core.route.RouteTable;
import org.gentianslip.core.shutdown.ShutdownPlan;
import org.gentianslip.core.stream.StreamOrigin;
import org.gentianslip.core.stream.StreamOrigins;
import org.gentianslip.core.stream.VersionHistory;

/**
 * The state of an instance: the published state, the load of backend servers, and the other
 * instances.
 *
 * <p>The published state is replaced as a whole. Safe for use by several threads.
 */
public final class GatewayState {

  /** The number of instances in all regions that is assumed until more of them are known. */
  private static final int MIN_ASSUMED_INSTANCES = 8;

  /** How much longer than its route allows a stream may last, in milliseconds. */
  private static final long STREAM_MARGIN_MILLIS = 5_000;

  /** How long origins are needed after the only version of a service could not be confirmed. */
  private static final long ORIGIN_NEED_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** The length of the ids of requests for which it is kept where their stream began. */
  private static final int MAX_ORIGIN_LETTERS = 128;

  private final AtomicReference<GatewayConfig> config;
  private final AtomicReference<PublishedState> published =
      new AtomicReference<>(PublishedState.NONE);
  private final Map<ServiceId, RepeatWindow> repeats = new ConcurrentHashMap<>();
  private final FleetView fleet;
  private final AtomicLong beat = new AtomicLong();
  private final BackendRegistry backends;
  private final PromptLocator prompts;
  private final ForwardTargets forwardTargets;
  private final ServiceReach reach = new ServiceReach();
  private final CustomerWork customerWork = new CustomerWork();
  private final PromptQuarantine quarantine;
  private final ProcessorGuard processor;
  private final CustomerQuotas quotas;
  private final FormerKeys formerKeys = new FormerKeys();
  private final StreamOrigins streamOrigins = new StreamOrigins();
  private final VersionHistory versionHistory = new VersionHistory();
  private volatile Optional<ShutdownPlan> shutdownPlan = Optional.empty();
  private volatile boolean refusing;
  private volatile long confirmedNanos = System.nanoTime();
  private volatile long unconfirmedVersionNanos = System.nanoTime() - ORIGIN_NEED_NANOS;
  private final AtomicLong completeNanos = new AtomicLong(System.nanoTime());
  private final ConfigurationKnowledge knowledge = new ConfigurationKnowledge();

  /**
   * Creates a state that has only a configuration.
   *
   * @param startedMillis the start time of this process, in Unix milliseconds
   */
  public GatewayState(GatewayConfig config, long startedMillis) {
    this.config = new AtomicReference<>(config);
    this.processor = new ProcessorGuard(config.capacity());
    this.fleet = new FleetView(record(config, startedMillis));
    this.backends = new BackendRegistry(this::config, fleet, System.nanoTime());
    this.prompts = new PromptLocator(this::config);
    this.forwardTargets = new ForwardTargets(fleet, config.region());
    this.quarantine = new PromptQuarantine(config.id(), System.nanoTime());
    this.quotas = new CustomerQuotas(fleet, config.bounds().quotas(), System.nanoTime());
  }

  /** Returns the configuration of this instance. */
  public GatewayConfig config() {
    return config.get();
  }

  /** Replaces the seeds. */
  public void setSeeds(List<String> seeds) {
    config.updateAndGet(current -> current.withSeeds(seeds));
  }

  /** Returns the other instances. */
  public FleetView fleet() {
    return fleet;
  }

  /** Returns a new record of this instance, to be sent to others. */
  public PeerRecord ownRecord() {
    return record(config(), fleet.peers().ownIncarnation());
  }

  private PeerRecord record(GatewayConfig c, long incarnation) {
    return new PeerRecord(
        c.id(),
        incarnation,
        beat.incrementAndGet(),
        c.region(),
        c.dataCentre(),
        c.host() + ":" + c.callerPort(),
        c.controlAddress(),
        c.host() + ":" + c.forwardPort(),
        processor.capacity(),
        ready(),
        leaving(),
        c.capacity(),
        reach.unreached(),
        WireVersion.CURRENT);
  }

  /** Returns the guard of this instance's processor. */
  ProcessorGuard processor() {
    return processor;
  }

  /** Returns the present processor capacity of this instance, in hundredths of a core. */
  public int presentCapacity() {
    return processor.capacity();
  }

  /** Returns the published state. */
  public PublishedState published() {
    return published.get();
  }

  /** Records that the publisher or a peer has confirmed the published state. */
  public void markConfirmed(long nowNanos) {
    confirmedNanos = nowNanos;
  }

  /** Returns the time since the published state was last confirmed, in nanoseconds. */
  public long confirmationAgeNanos(long nowNanos) {
    return nowNanos - confirmedNanos;
  }

  /**
   * Records that all changes are applied that were published before a time, in nanoseconds of the
   * monotonic clock.
   */
  public void markComplete(long nanos) {
    completeNanos.accumulateAndGet(nanos, (a, b) -> b - a > 0 ? b : a);
  }

  /** Returns the latest known time before which no change was published that is not applied. */
  long completeNanos() {
    return completeNanos.get();
  }

  /** Returns what is known of how recent the configuration is. */
  public ConfigurationKnowledge knowledge() {
    return knowledge;
  }

  /** Returns the version of the configuration in force, or 0 if there is none. */
  public long routesVersion() {
    return published.get().routes().map(RouteTable::version).orElse(0L);
  }

  /** Applies a published state; routes never revert to an older version. */
  public void applyPublished(long nowNanos, PublishedState next) {
    PublishedState before = published.get();
    PublishedState after = next.withRoutesNotOlderThan(before);
    published.set(after);
    formerKeys.applyChange(before.routes(), after.routes());
    versionHistory.apply(nowNanos, after.backends().values());
    backends.applyPublished(nowNanos, before, after);
    prompts.applyPublished(before, after);
    PublishedStateLog.logChanges(before, after);
  }

  /** Sets the interval at which backend servers publish themselves; 0 if it is not known. */
  public void setHeartbeatMillis(long millis) {
    backends.setHeartbeatMillis(millis);
  }

  /** Sets what asks an engine when it started. */
  void setStartCheck(Consumer<Backend> check) {
    backends.setStartCheck(check);
  }

  /** Records that an engine that was asked when it started could not be reached. */
  void recordUnanswered(long nowNanos, Backend asked) {
    backends.recordUnanswered(nowNanos, asked);
  }

  /** Records when a backend server says that it started, in Unix milliseconds. */
  void recordStart(long nowNanos, Backend asked, long startedMillis) {
    backends.recordStart(nowNanos, published.get(), asked, startedMillis);
  }

  /** Records that a backend server has said that it is leaving. */
  void markLeaving(Backend backend) {
    backends.markLeaving(published.get(), backend);
  }

  /** Returns the load of a backend server, or an empty value if it is unknown. */
  public Optional<BackendLoad> load(EngineId id) {
    return backends.load(id);
  }

  /** Returns the loads of all known backend servers. */
  public Map<EngineId, BackendLoad> loads() {
    return backends.loads();
  }

  /** Returns the engines that hold the shared part of a request's prompt, the most recent first. */
  List<Backend> holders(long nowNanos, Route route, RequestSize size) {
    return prompts.holders(nowNanos, published.get(), route, size);
  }

  /**
   * Returns the candidates of this region for a request.
   *
   * @param holders the engines that hold the shared part of the prompt, the most recent first
   * @param usable tests whether the request may be sent to a backend server
   */
  Candidates localCandidates(
      long nowNanos,
      ServiceId service,
      RequestSize size,
      List<Backend> holders,
      Predicate<EngineId> usable) {
    PublishedState state = published.get();
    List<EngineId> ids = holders.stream().map(Backend::id).toList();
    Candidates candidates = backends.candidates(nowNanos, state, service, usable, size, ids);
    return prompts.withFetchSources(state, service, size, holders, candidates);
  }

  /** Returns whether requests of this instance are at backend servers. */
  public boolean hasLoad(long nowNanos) {
    return backends.loads().values().stream().anyMatch(l -> !l.localLoad(nowNanos).isZero());
  }

  /** Returns the directory of the shared parts of prompts that engines have read. */
  public PromptDirectory prompts() {
    return prompts.directory();
  }

  /** Records that an engine has read a prompt. */
  void recordPromptRead(long nowNanos, EngineId engine, RequestSize size) {
    prompts.recordRead(nowNanos, config().id(), engine, size);
  }

  /** Applies a report from another instance that an engine has read a part of a prompt. */
  public void addPromptHolder(InstanceId source, PromptHolder holder) {
    if (prompts.directory().record(source, holder)) {
      load(holder.engine()).ifPresent(l -> l.recordPrefill(holder.part()));
    }
  }

  /**
   * Returns what a request may expect, for each service with backend servers in this region that
   * accept work.
   */
  public Map<ServiceId, ServiceWait> waits(long nowNanos) {
    Map<ServiceId, ServiceWait> waits = new HashMap<>(backends.waits(nowNanos, published.get()));
    for (ServiceId service : reach.unreached()) {
      if (isStranded(nowNanos, service)) {
        // The neighbours serve requests of other regions, and only they know the wait.
        waits.put(service, ServiceWait.UNKNOWN);
      }
    }
    return waits;
  }

  /** Returns whether this instance reaches a service, as far as its connections show. */
  public boolean reaches(ServiceId service) {
    return !reach.isUnreached(service);
  }

  /** Returns which services this instance reaches. */
  ServiceReach reach() {
    return reach;
  }

  /** Returns whether this instance can't reach a service that a neighbour reaches. */
  boolean isStranded(long nowNanos, ServiceId service) {
    return reach.isUnreached(service)
        && !forwardTargets.reachingNeighbours(nowNanos, service).isEmpty();
  }

  /** Returns whether this instance can't reach some service that a neighbour reaches. */
  boolean isStranded(long nowNanos) {
    return reach.unreached().stream().anyMatch(s -> isStranded(nowNanos, s));
  }

  /** Returns the backend servers of a service in this region that accept work. */
  Map<EngineId, Backend> localBackends(ServiceId service) {
    PublishedState state = published.get();
    Map<EngineId, Backend> local = new HashMap<>();
    for (Backend b : state.backends().values()) {
      if (b.service().equals(service) && config().isLocal(b) && state.acceptsWork(b)) {
        local.put(b.id(), b);
      }
    }
    return local;
  }

  /** Returns a backend server of this region that accepts work, if it is known. */
  Optional<Backend> localBackend(EngineId id) {
    PublishedState state = published.get();
    return Optional.ofNullable(state.backends().get(id))
        .filter(b -> config().isLocal(b) && state.acceptsWork(b));
  }

  /**
   * Returns the regions whose instances may serve a request.
   *
   * @param holders the engines that hold the shared part of the prompt
   * @param usable tests whether the request may be sent to a region
   * @param neighbours whether the other instances of this region are among them
   */
  List<RegionOption> forwardCandidates(
      long nowNanos,
      Route route,
      ServiceId service,
      List<Backend> holders,
      Predicate<RegionId> usable,
      boolean neighbours) {
    return forwardTargets.candidates(
        nowNanos, route, service, prompts.regionsOf(holders), usable, neighbours);
  }

  /** Returns whether a service has a backend server in a region besides excluded ones. */
  boolean hasBackend(
      RegionId region, ServiceId service, Set<EngineId> excluded, VersionLimit versions) {
    PublishedState state = published.get();
    return state.backends().values().stream()
        .anyMatch(
            b ->
                b.service().equals(service)
                    && !excluded.contains(b.id())
                    && versions.allows(b)
                    && region.equals(config().regions().get(b.dataCentre()))
                    && state.acceptsWork(b));
  }

  /** Returns the instances that requests may be forwarded to. */
  ForwardTargets forwardTargets() {
    return forwardTargets;
  }

  /** Returns the recent work of customers. */
  CustomerWork customerWork() {
    return customerWork;
  }

  /** Returns the quotas of customers. */
  public CustomerQuotas quotas() {
    return quotas;
  }

  /** Returns the keys that earlier configurations held. */
  FormerKeys formerKeys() {
    return formerKeys;
  }

  /** Returns the versions of their software at which recent streams began. */
  public StreamOrigins streamOrigins() {
    return streamOrigins;
  }

  /** Records where a stream began, unless the id of the request is too long to be kept. */
  void recordStreamOrigin(long nowNanos, String request, SoftwareVersion version) {
    if (request.length() <= MAX_ORIGIN_LETTERS) {
      streamOrigins.record(new StreamOrigin(request, version, nowNanos));
    }
  }

  /** Returns the versions that the published backend servers have had. */
  public VersionHistory versionHistory() {
    return versionHistory;
  }

  /** Records that the only version of a service could not be confirmed for a stream. */
  void recordUnconfirmedVersion(long nowNanos) {
    unconfirmedVersionNanos = nowNanos;
  }

  /**
   * Returns whether this instance needs the origins that others have recorded, as it can't tell
   * them from the only version of a service.
   */
  public boolean needsOrigins(long nowNanos) {
    return !hasSoleVersions(nowNanos) || nowNanos - unconfirmedVersionNanos < ORIGIN_NEED_NANOS;
  }

  /**
   * Returns whether each service is known to have had at most one version for longer than a stream
   * lasts.
   */
  private boolean hasSoleVersions(long nowNanos) {
    return published.get().routes().isPresent()
        && versionHistory.hasSoleVersions(
            nowNanos, longestStreamNanos() + TimeUnit.MILLISECONDS.toNanos(STREAM_MARGIN_MILLIS));
  }

  /**
   * Returns how long a stream may last, in nanoseconds: the longest timeout of all routes, as that
   * of its own route may have been longer when it began.
   */
  long longestStreamNanos() {
    long millis = published.get().routes().map(RouteTable::longestTimeoutMillis).orElse(0L);
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /** Returns the parts of prompts that are kept away from engines. */
  public PromptQuarantine quarantine() {
    return quarantine;
  }

  /**
   * Returns whether this instance, of all that it knows, tries a part of prompts whose quarantine
   * is over.
   */
  boolean triesAgain(long nowNanos, String part) {
    long own = RendezvousHash.hash(part, config().id().value());
    return fleet.known(nowNanos).stream()
        .noneMatch(p -> RendezvousHash.hash(part, p.id().value()) > own);
  }

  /** Returns the repeat budget of a service. */
  RepeatWindow repeats(ServiceId service) {
    GatewayBounds bounds = config().bounds();
    return repeats.computeIfAbsent(
        service,
        s ->
            new RepeatWindow(
                TimeUnit.MILLISECONDS.toNanos(bounds.repeatWindowMillis()),
                bounds.repeatShare() * GatewayBounds.SAFETY_FACTOR));
  }

  /** Returns the share of this instance in the extra repeats. */
  double extraRepeatShare() {
    int instances = Math.max(MIN_ASSUMED_INSTANCES, fleet.peers().count());
    return GatewayBounds.SAFETY_FACTOR * config().bounds().repeatExtra() / instances;
  }

  /** Returns whether requests can be served. */
  public boolean ready() {
    return !leaving() && published.get().routes().isPresent();
  }

  /**
   * Starts the shutdown, unless it has started, and returns its plan.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   */
  public synchronized ShutdownPlan startShutdown(long nowNanos) {
    if (shutdownPlan.isEmpty()) {
      shutdownPlan = Optional.of(new ShutdownPlan(nowNanos, config().bounds().graceMillis()));
    }
    return shutdownPlan.get();
  }

  /** Returns the plan of the shutdown if it has started. */
  Optional<ShutdownPlan> shutdownPlan() {
    return shutdownPlan;
  }

  /** Returns whether the shutdown has started. */
  public boolean leaving() {
    return shutdownPlan.isPresent();
  }

  /** Makes this instance refuse all further requests. */
  void refuseRequests() {
    refusing = true;
  }

  boolean refusing() {
    return refusing;
  }

  /** Discards what may have become outdated during a pause of this process. */
  public void resetAfterPause(long nowNanos) {
    fleet.expireAll(nowNanos);
  }
}
