package org.gentianslip.entry.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.gentianslip.core.fleet.FleetView;
import org.gentianslip.core.fleet.ServiceWait;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.limit.ColdRate;
import org.gentianslip.core.limit.EngineSubsetting;
import org.gentianslip.core.limit.LimitShare;
import org.gentianslip.core.limit.RefusalShare;
import org.gentianslip.core.limit.StatedLimit;
import org.gentianslip.core.load.BackendGroup;
import org.gentianslip.core.load.BackendLoad;
import org.gentianslip.core.load.Candidates;
import org.gentianslip.core.load.ColdShare;
import org.gentianslip.core.load.RequestSize;
import org.gentianslip.core.load.SendRates;
import org.gentianslip.core.published.Backend;
import org.gentianslip.core.published.LeavingIncarnations;
import org.gentianslip.core.published.PublishedState;
import org.gentianslip.core.route.EngineProfile;
import org.gentianslip.core.route.ServiceProfile;

/**
 * Tracks the load of the published backend servers and selects candidates for requests.
 *
 * <p>Safe for use by several threads.
 */
final class BackendRegistry {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** The number of instances per region that is assumed until more of them are known. */
  private static final int MIN_ASSUMED_INSTANCES = 3;

  private final Supplier<GatewayConfig> config;

  /**
   * How long a new process sends nothing to cold backend servers unless it has heard of other
   * instances.
   */
  private static final long INTRODUCTION_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** The maximum time from asking an engine when it started to the end of the call. */
  private static final long START_QUERY_NANOS =
      TimeUnit.MILLISECONDS.toNanos(ReportCall.TIMEOUT_MILLIS);

  /** The interval at which backend servers publish themselves if it is not known. */
  private static final long DEFAULT_HEARTBEAT_MILLIS = 1_200;

  /** The intervals by which the entry of a start has arrived, unless the publisher is disturbed. */
  private static final double ENTRY_HEARTBEATS = 1.25;

  private final FleetView fleet;
  private final long createdNanos;
  private final Map<EngineId, Tracked> loads = new ConcurrentHashMap<>();
  private final LeavingIncarnations leaving = new LeavingIncarnations();

  /** What backend servers of a service have last said about the refusals that they bear. */
  private final Map<ServiceId, StatedLimit> refusalLimits = new HashMap<>();

  private volatile long entryNanos = entryNanos(DEFAULT_HEARTBEAT_MILLIS);

  /** When the engines were last asked when they started. */
  private final Map<EngineId, Long> askedNanos = new ConcurrentHashMap<>();

  private volatile Consumer<Backend> startCheck = backend -> {};

  /** The backend servers of this region that accept work, by service; replaced as a whole. */
  private volatile Map<ServiceId, BackendGroup> groups = Map.of();

  /**
   * The load of one start of a backend server.
   *
   * @param backend the backend server as it was published last
   * @param load the load of that start
   */
  private record Tracked(Backend backend, BackendLoad load) {

    Tracked with(Backend next, EngineProfile engine) {
      if (next.startedMillis() == 0) {
        return new Tracked(backend, load.withProfile(engine));
      }
      return backend.isSameStart(next)
          ? new Tracked(next, load.withProfile(engine))
          : new Tracked(next, load.ofNextStart(next.slots(), engine));
    }
  }

  BackendRegistry(Supplier<GatewayConfig> config, FleetView fleet, long nowNanos) {
    this.config = config;
    this.fleet = fleet;
    this.createdNanos = nowNanos;
  }

  /** Updates the backend servers from one published state to the next. */
  synchronized void applyPublished(long nowNanos, PublishedState before, PublishedState after) {
    if (after.routes().isPresent()) {
      PublishedState known = before.routes().isPresent() ? before : PublishedState.NONE;
      markColdBackends(nowNanos, known, after);
    }
    recordRefusalLimits(before);
    loads.keySet().retainAll(after.backends().keySet());
    askedNanos.keySet().retainAll(after.backends().keySet());
    leaving.retainPublished(after.backends());
    Map<ServiceId, BackendGroup> built = buildGroups(after);
    presumeRefusalLimits(before, after);
    groups = built;
  }

  private void recordRefusalLimits(PublishedState state) {
    for (Backend b : state.backends().values()) {
      load(b.id())
          .flatMap(BackendLoad::refusalLimit)
          .ifPresent(
              l ->
                  refusalLimits.merge(b.service(), l, (a, next) -> next.isNewerThan(a) ? next : a));
    }
  }

  /** Presumes of new backend servers what others of their service have said, until they answer. */
  private void presumeRefusalLimits(PublishedState before, PublishedState after) {
    for (Backend b : after.backends().values()) {
      Backend previous = before.backends().get(b.id());
      boolean started = previous == null || !previous.isSameStart(b);
      StatedLimit stated = refusalLimits.get(b.service());
      if (started && stated != null && stated.isLimited()) {
        load(b.id()).ifPresent(l -> l.applyRefusalLimit(stated));
      }
    }
  }

  /** Records that a backend server has said that it is leaving, so that it gets no new work. */
  synchronized void markLeaving(PublishedState state, Backend backend) {
    if (leaving.add(backend)) {
      LOGGER.atInfo().log(
          "gateway: event=leaving-answer backend=%s started=%s",
          backend.id(), backend.startedMillis());
      groups = buildGroups(state);
    }
  }

  private Map<ServiceId, BackendGroup> buildGroups(PublishedState state) {
    Map<ServiceId, List<BackendGroup.Member>> members = new HashMap<>();
    for (Backend b : state.backends().values()) {
      if (config.get().isLocal(b) && state.acceptsWork(b) && !leaving.contains(b)) {
        members
            .computeIfAbsent(b.service(), s -> new ArrayList<>())
            .add(new BackendGroup.Member(b, loadOf(state, b)));
      }
    }
    Map<ServiceId, BackendGroup> built = new HashMap<>();
    members.forEach(
        (service, list) -> built.put(service, BackendGroup.of(list, config.get().dataCentre())));
    return Map.copyOf(built);
  }

  private void markColdBackends(long nowNanos, PublishedState before, PublishedState after) {
    for (Backend b : after.backends().values()) {
      Backend previous = before.backends().get(b.id());
      boolean started = previous == null || !previous.isSameStart(b);
      if (previous == null) {
        expectConfirmation(nowNanos, after, b);
      }
      boolean evacuationEnded =
          before.evacuated().contains(b.dataCentre())
              && !after.evacuated().contains(b.dataCentre());
      long warmUpMillis = profile(after, b.service()).map(ServiceProfile::warmUpMillis).orElse(0L);
      boolean coldChanged = started || previous.coldMillis() != b.coldMillis();
      long coldMillis = evacuationEnded ? warmUpMillis : 0;
      coldMillis = coldChanged ? Math.max(coldMillis, b.coldMillis()) : coldMillis;
      if (coldMillis > 0) {
        loadOf(after, b).markColdUntil(nowNanos + TimeUnit.MILLISECONDS.toNanos(coldMillis));
        LOGGER.atInfo().log(
            "gateway: event=cold backend=%s started=%s millis=%s new-start=%s",
            b.id(), b.startedMillis(), coldMillis, started);
      }
    }
  }

  /**
   * Limits an engine of the first list of a new process until it has said when it started. The
   * entry of a later start may be under way, and this process remembers nothing of the engine.
   */
  private void expectConfirmation(long nowNanos, PublishedState state, Backend backend) {
    boolean limited =
        profile(state, backend.service()).filter(p -> p.coldPerSecond() > 0).isPresent();
    boolean comparable = config.get().isLocal(backend) && statesItsStart(state, backend);
    if (limited && comparable && nowNanos - createdNanos < INTRODUCTION_NANOS) {
      loadOf(state, backend).expectConfirmation(nowNanos + entryNanos);
    }
  }

  /**
   * Asks an engine when it started that gets no more requests as it may have started again, unless
   * it was asked just before.
   */
  private void askStart(long nowNanos, PublishedState state, EngineId id) {
    Tracked tracked = loads.get(id);
    if (tracked == null || !statesItsStart(state, tracked.backend())) {
      return;
    }
    Long asked = askedNanos.get(id);
    if (asked != null && nowNanos - asked < START_QUERY_NANOS) {
      return;
    }
    boolean first =
        asked == null
            ? askedNanos.putIfAbsent(id, nowNanos) == null
            : askedNanos.replace(id, asked, nowNanos);
    if (first) {
      startCheck.accept(tracked.backend());
    }
  }

  /** Returns whether a backend server says when it started, in its entry and in its report. */
  private static boolean statesItsStart(PublishedState state, Backend backend) {
    return backend.startedMillis() != 0 && isEngine(state, backend);
  }

  /**
   * Returns whether a backend server is an engine, so that it has a report. What is published under
   * its id now decides.
   */
  static boolean isEngine(PublishedState state, Backend backend) {
    ServiceId service = state.backends().getOrDefault(backend.id(), backend).service();
    return profile(state, service).flatMap(ServiceProfile::engine).isPresent();
  }

  /** Sets the interval at which backend servers publish themselves, if it is known. */
  void setHeartbeatMillis(long millis) {
    entryNanos = entryNanos(millis > 0 ? millis : DEFAULT_HEARTBEAT_MILLIS);
  }

  private static long entryNanos(long heartbeatMillis) {
    return (long) (ENTRY_HEARTBEATS * TimeUnit.MILLISECONDS.toNanos(heartbeatMillis));
  }

  /** Sets what asks an engine when it started. */
  void setStartCheck(Consumer<Backend> check) {
    startCheck = check;
  }

  /** Records that an engine that was asked when it started could not be reached. */
  void recordUnanswered(long nowNanos, Backend asked) {
    Tracked tracked = loads.get(asked.id());
    if (tracked != null && tracked.backend().isSameStart(asked)) {
      tracked.load().suspectRestart(nowNanos, nowNanos - START_QUERY_NANOS);
    }
  }

  /**
   * Records when a backend server says that it started.
   *
   * @param asked the backend server as it was published when it was asked
   */
  void recordStart(long nowNanos, PublishedState state, Backend asked, long startedMillis) {
    Tracked tracked = loads.get(asked.id());
    if (tracked == null || !tracked.backend().isSameStart(asked)) {
      return;
    }
    tracked.load().confirmStart(nowNanos);
    if (startedMillis != asked.startedMillis()) {
      long warmUpMillis =
          profile(state, asked.service()).map(ServiceProfile::warmUpMillis).orElse(0L);
      tracked.load().markColdUntil(nowNanos + TimeUnit.MILLISECONDS.toNanos(warmUpMillis));
    }
  }

  static Optional<ServiceProfile> profile(PublishedState state, ServiceId service) {
    return state.routes().flatMap(r -> r.service(service));
  }

  private BackendLoad loadOf(PublishedState state, Backend backend) {
    EngineProfile engine =
        profile(state, backend.service()).flatMap(ServiceProfile::engine).orElse(null);
    Tracked tracked =
        loads.compute(
            backend.id(),
            (id, known) ->
                known == null
                    ? new Tracked(backend, new BackendLoad(backend.slots(), engine))
                    : known.with(backend, engine));
    return tracked.load();
  }

  /** Returns the load of a backend server, or an empty value if it is unknown. */
  Optional<BackendLoad> load(EngineId id) {
    return Optional.ofNullable(loads.get(id)).map(Tracked::load);
  }

  /** Returns the loads of all known backend servers. */
  Map<EngineId, BackendLoad> loads() {
    Map<EngineId, BackendLoad> copy = new HashMap<>();
    loads.forEach((id, tracked) -> copy.put(id, tracked.load()));
    return copy;
  }

  /**
   * Returns the candidates of this region for a request.
   *
   * @param usable tests whether the request may be sent to a backend server
   * @param holders the engines that hold the shared part of the prompt, the most recent first
   */
  Candidates candidates(
      long nowNanos,
      PublishedState state,
      ServiceId service,
      Predicate<EngineId> usable,
      RequestSize size,
      List<EngineId> holders) {
    return groups
        .getOrDefault(service, BackendGroup.EMPTY)
        .candidates(
            nowNanos,
            rates(nowNanos, state, service, id -> askStart(nowNanos, state, id)),
            usable,
            size,
            holders,
            ThreadLocalRandom.current());
  }

  private SendRates rates(
      long nowNanos, PublishedState state, ServiceId service, Consumer<EngineId> onUnconfirmed) {
    return new SendRates() {
      @Override
      public int coldPerSecond(EngineId backend) {
        return BackendRegistry.this.coldPerSecond(nowNanos, state, service, backend);
      }

      @Override
      public ColdShare coldShare(EngineId backend) {
        return new ColdShare() {
          @Override
          public int perSecond() {
            return coldPerSecond(backend);
          }

          @Override
          public void usedUpUnconfirmed() {
            onUnconfirmed.accept(backend);
          }
        };
      }

      @Override
      public long intervalNanos(EngineId backend, double perSecond) {
        return LimitShare.intervalNanos(
            config.get().id(), liveInRegion(nowNanos), backend, perSecond);
      }

      @Override
      public int portion(EngineId backend, int total) {
        List<InstanceId> instances = liveInRegion(nowNanos);
        return EngineSubsetting.shareOf(config.get().id(), instances, backend, instances.size())
            .map(s -> s.portionOfFree(total))
            .orElse(0);
      }

      @Override
      public int places(EngineId backend, int slots) {
        // A new process may not have heard of all instances yet.
        return nowNanos - createdNanos < INTRODUCTION_NANOS
            ? slots / Math.max(MIN_ASSUMED_INSTANCES, liveInRegion(nowNanos).size())
            : portion(backend, slots);
      }

      @Override
      public RefusalShare refusals(EngineId backend, double perSecond) {
        List<InstanceId> instances = fleet.peers().knownInRegion();
        return LimitShare.refusals(
            config.get().id(), instances, MIN_ASSUMED_INSTANCES, backend, perSecond);
      }
    };
  }

  private List<InstanceId> liveInRegion(long nowNanos) {
    List<InstanceId> ids = new ArrayList<>();
    ids.add(config.get().id());
    fleet.snapshot(nowNanos).serving(config.get().region()).forEach(p -> ids.add(p.id()));
    return ids;
  }

  /** Returns how many requests per second this instance may send to a cold backend server. */
  private int coldPerSecond(
      long nowNanos, PublishedState state, ServiceId service, EngineId backend) {
    double warmPerSecond = profile(state, service).map(ServiceProfile::coldPerSecond).orElse(0.0);
    if (warmPerSecond <= 0) {
      return ColdRate.UNLIMITED;
    }
    List<InstanceId> instances = fleet.peers().knownInRegion();
    if (isUninformed(nowNanos)) {
      return 0;
    }
    GatewayBounds bounds = config.get().bounds();
    double regionPerSecond =
        GatewayBounds.SAFETY_FACTOR * (warmPerSecond * bounds.coldShare() + bounds.coldExtra());
    return ColdRate.perSecond(
        config.get().id(), instances, MIN_ASSUMED_INSTANCES, backend, regionPerSecond);
  }

  /** Returns whether this process is new and other instances may exist that it does not know. */
  private boolean isUninformed(long nowNanos) {
    String own = config.get().controlAddress();
    return fleet.peers().count() == 1
        && nowNanos - createdNanos < INTRODUCTION_NANOS
        && config.get().seeds().stream().anyMatch(s -> !s.equals(own));
  }

  /**
   * Returns what a request may expect, for each service with backend servers in this region that
   * accept work.
   */
  Map<ServiceId, ServiceWait> waits(long nowNanos, PublishedState state) {
    int instances = liveInRegion(nowNanos).size();
    loads.values().forEach(t -> t.load().setInstances(instances));
    Map<ServiceId, ServiceWait> waits = new HashMap<>();
    groups.forEach(
        (service, group) ->
            group
                .expectedWait(
                    nowNanos,
                    rates(nowNanos, state, service, id -> {}),
                    ThreadLocalRandom.current())
                .ifPresent(w -> waits.put(service, w)));
    return waits;
  }
}
