package org.gentianslip.entry.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.limit.RepeatWindow;
import org.gentianslip.core.load.BackendLoad;
import org.gentianslip.core.load.BackendOption;
import org.gentianslip.core.load.PromptDirectory;
import org.gentianslip.core.load.PromptFetch;
import org.gentianslip.core.load.PromptHolder;
import org.gentianslip.core.load.PromptPart;
import org.gentianslip.core.load.RegionOption;
import org.gentianslip.core.load.RequestSize;
import org.gentianslip.core.membership.PeerBook;
import org.gentianslip.core.membership.PeerRecord;
import org.gentianslip.core.published.Backend;
import org.gentianslip.core.published.PublishedState;
import org.gentianslip.core.route.EngineProfile;
import org.gentianslip.core.route.Route;
import org.gentianslip.core.route.RouteTable;
import org.gentianslip.core.route.ServiceProfile;

/**
 * Holds all that this instance knows: what is published, the load of backend servers, and the other
 * instances.
 *
 * <p>What is published is swapped as a whole. Safe for use by several threads.
 */
public final class GatewayState {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** The instances of a region that are assumed before others were heard. */
  private static final int ASSUMED_NEAR = 3;

  /** The instances in all that are assumed before others were heard. */
  private static final int ASSUMED_ALL = 8;

  /** How long a region that refused is left alone. */
  private static final long REGION_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

  /** How long an instance that could not be reached is left alone. */
  private static final long INSTANCE_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  /** The round trip to an instance of another region, in milliseconds, while none was measured. */
  private static final double AWAY_MILLIS = 112;

  /** The part of a shared bound that an instance uses, since the others' number may lag. */
  private static final double PART_OF_BOUND = 0.85;

  private final AtomicReference<GatewayPlace> place;
  private final AtomicReference<PublishedState> published =
      new AtomicReference<>(PublishedState.NONE);
  private final Map<EngineId, BackendLoad> loads = new ConcurrentHashMap<>();
  private final Map<ServiceId, RepeatWindow> repeats = new ConcurrentHashMap<>();
  private final Map<RegionId, Long> pausedRegions = new ConcurrentHashMap<>();
  private final Map<InstanceId, Long> pausedInstances = new ConcurrentHashMap<>();
  private final PromptDirectory prompts = new PromptDirectory();
  private final PeerBook peers;
  private volatile boolean leaving;
  private volatile boolean refusing;
  private volatile long confirmedNanos = System.nanoTime();

  /** Creates a state that knows nothing but the place. */
  public GatewayState(GatewayPlace place) {
    this.place = new AtomicReference<>(place);
    this.peers = new PeerBook(place.id(), place.region());
  }

  /** Returns the place. */
  public GatewayPlace place() {
    return place.get();
  }

  /** Takes new seeds. */
  public void reseed(List<String> seeds) {
    place.updateAndGet(p -> p.withSeeds(seeds));
  }

  /** Returns the other instances. */
  public PeerBook peers() {
    return peers;
  }

  /** Returns what is published. */
  public PublishedState published() {
    return published.get();
  }

  /** Notes that what is published was confirmed by the publisher or a peer. */
  public void confirmed(long nowNanos) {
    confirmedNanos = nowNanos;
  }

  /** Returns how long ago what is published was confirmed, in nanoseconds. */
  public long ageNanos(long nowNanos) {
    return nowNanos - confirmedNanos;
  }

  /** Takes what is published now; routes never go back to an older version. */
  public void publish(long nowNanos, PublishedState next) {
    PublishedState before = published.get();
    PublishedState after = next.notBefore(before);
    published.set(after);
    noteCold(nowNanos, before, after);
    loads.keySet().retainAll(after.backends().keySet());
    before.backends().keySet().stream()
        .filter(id -> !after.backends().containsKey(id))
        .forEach(prompts::forget);
    report(before, after);
  }

  private void noteCold(long nowNanos, PublishedState before, PublishedState after) {
    for (Backend b : after.backends().values()) {
      Backend old = before.backends().get(b.id());
      boolean wasEvacuated =
          before.evacuated().contains(b.dataCentre())
              && !after.evacuated().contains(b.dataCentre());
      long warmUp = profile(after, b.service()).map(ServiceProfile::warmUpMillis).orElse(0L);
      boolean told = old == null || old.coldMillis() != b.coldMillis();
      long cold = wasEvacuated ? warmUp : 0;
      cold = told ? Math.max(cold, b.coldMillis()) : cold;
      if (cold > 0) {
        loadOf(after, b).coldUntil(nowNanos + TimeUnit.MILLISECONDS.toNanos(cold));
        LOGGER.atInfo().log("gateway: event=cold backend=%s millis=%s", b.id(), cold);
      }
    }
  }

  private static void report(PublishedState before, PublishedState after) {
    long old = before.routes().map(RouteTable::version).orElse(0L);
    long now = after.routes().map(RouteTable::version).orElse(0L);
    if (old != now) {
      LOGGER.atInfo().log(
          "gateway: event=configuration version=%s before=%s revision=%s routes=%s",
          now, old, after.revision(), after.routes().map(RouteTable::size).orElse(0));
    }
    Map<EngineId, String> changes = new HashMap<>();
    after.backends().forEach((id, b) -> changes.put(id, stateOf(after, b)));
    before.backends().forEach((id, b) -> changes.remove(id, stateOf(before, b)));
    for (EngineId id : before.backends().keySet()) {
      if (!after.backends().containsKey(id)) {
        changes.put(id, "gone");
      }
    }
    changes.forEach(
        (id, state) ->
            LOGGER.atInfo().log(
                "gateway: event=backend id=%s state=%s revision=%s", id, state, after.revision()));
  }

  private static String stateOf(PublishedState state, Backend b) {
    if (state.evacuated().contains(b.dataCentre())) {
      return "evacuated";
    }
    return b.leaving() ? "leaving" : "ready";
  }

  private static Optional<ServiceProfile> profile(PublishedState state, ServiceId service) {
    return state.routes().flatMap(r -> r.service(service));
  }

  private BackendLoad loadOf(PublishedState state, Backend backend) {
    return loads.computeIfAbsent(
        backend.id(),
        id -> {
          EngineProfile engine =
              profile(state, backend.service()).flatMap(ServiceProfile::engine).orElse(null);
          return new BackendLoad(backend.slots(), engine);
        });
  }

  /** Returns the load of a backend server, if it is known. */
  public Optional<BackendLoad> load(EngineId id) {
    return Optional.ofNullable(loads.get(id));
  }

  /** Returns the loads of all backend servers that this instance may use. */
  public Map<EngineId, BackendLoad> loads() {
    return Map.copyOf(loads);
  }

  /** Returns the backend servers of this region that may get a request now. */
  public List<BackendOption> options(
      long nowNanos, Route route, ServiceId service, RequestSize size) {
    List<Backend> holders = holders(nowNanos, route, service, size);
    double copyMillis =
        profile(published.get(), service)
            .flatMap(ServiceProfile::engine)
            .map(EngineProfile::copyMillisPerToken)
            .orElse(0.0);
    return usable(nowNanos, service).stream().map(o -> withFetch(o, holders, copyMillis)).toList();
  }

  private static BackendOption withFetch(
      BackendOption option, List<Backend> holders, double copyMillis) {
    Backend target = option.backend();
    PromptFetch best = null;
    for (Backend holder : holders) {
      if (holder.id().equals(target.id())) {
        continue;
      }
      if (best == null && holder.dataCentre().equals(target.dataCentre())) {
        best = new PromptFetch(holder, copyMillis);
      }
    }
    return new BackendOption(target, option.load(), Optional.ofNullable(best));
  }

  /** Returns the engines from which the shared part of a prompt may be copied. */
  private List<Backend> holders(long nowNanos, Route route, ServiceId service, RequestSize size) {
    Optional<PromptPart> shared = size.sharedPart();
    PublishedState state = published.get();
    boolean copies =
        profile(state, service)
            .flatMap(ServiceProfile::engine)
            .filter(e -> e.linkMegabits() > 0)
            .isPresent();
    if (!copies || shared.isEmpty() || shared.get().tokens() < PromptDirectory.LEAST_TOKENS) {
      return List.of();
    }
    List<Backend> holders = new ArrayList<>();
    for (EngineId id : prompts.holders(nowNanos, shared.get().id())) {
      Backend b = state.backends().get(id);
      boolean mayGive =
          b != null && b.service().equals(service) && state.mayGetWork(b) && mayHold(route, b);
      if (mayGive) {
        holders.add(b);
      }
    }
    return holders;
  }

  /** Returns the regions with an engine that has read the shared part of a prompt. */
  private Set<RegionId> holdingRegions(long nowNanos, RequestSize size) {
    Set<RegionId> regions = new HashSet<>();
    PublishedState state = published.get();
    size.sharedPart()
        .ifPresent(
            part -> {
              for (EngineId id : prompts.holders(nowNanos, part.id())) {
                Backend b = state.backends().get(id);
                if (b != null && state.mayGetWork(b)) {
                  regions.add(place().regions().get(b.dataCentre()));
                }
              }
            });
    return regions;
  }

  private boolean mayHold(Route route, Backend backend) {
    RegionId region = place().regions().get(backend.dataCentre());
    return region != null && route.allows(region);
  }

  /** Returns which engines have read which shared parts of prompts. */
  public PromptDirectory prompts() {
    return prompts;
  }

  /** Notes that an engine has read a prompt. */
  void promptRead(long nowNanos, EngineId engine, RequestSize size) {
    size.sharedPart().ifPresent(p -> prompts.note(nowNanos, new PromptHolder(p, engine, nowNanos)));
  }

  /** Takes from another instance that an engine has read a part of a prompt. */
  public void heardPrompt(long nowNanos, PromptHolder holder) {
    if (prompts.note(nowNanos, holder)) {
      load(holder.engine()).ifPresent(l -> l.hasRead(holder.part()));
    }
  }

  private List<BackendOption> usable(long nowNanos, ServiceId service) {
    PublishedState state = published.get();
    double pace = coldPace(state, service);
    List<BackendOption> options = new ArrayList<>();
    for (Backend b : state.backends().values()) {
      if (!b.service().equals(service) || !place().isNear(b) || !state.mayGetWork(b)) {
        continue;
      }
      BackendLoad load = loadOf(state, b);
      if (load.mayGetWork(nowNanos, pace)) {
        options.add(new BackendOption(b, load, Optional.empty()));
      }
    }
    return options;
  }

  /** Returns the requests that this instance may send to a cold backend server in a second. */
  private double coldPace(PublishedState state, ServiceId service) {
    double all = profile(state, service).map(ServiceProfile::coldPerSecond).orElse(0.0);
    if (all <= 0) {
      return 0;
    }
    GatewayBounds bounds = place().bounds();
    int sharers = Math.max(ASSUMED_NEAR, peers.nearCount());
    return PART_OF_BOUND * (all * bounds.coldShare() + bounds.coldExtra()) / sharers;
  }

  /** Returns the wait for a request to each service that has backend servers in this region. */
  public Map<ServiceId, Double> waits(long nowNanos) {
    Map<ServiceId, Double> waits = new HashMap<>();
    for (Backend b : published.get().backends().values()) {
      if (!place().isNear(b) || waits.containsKey(b.service())) {
        continue;
      }
      usable(nowNanos, b.service()).stream()
          .map(o -> o.load().estimate(nowNanos, false, RequestSize.UNKNOWN, Optional.empty()))
          .mapToDouble(e -> e.waitMillis() + e.failureMillis())
          .min()
          .ifPresent(w -> waits.put(b.service(), w));
    }
    return waits;
  }

  /** Returns the other regions that may serve a request. */
  public List<RegionOption> regions(
      long nowNanos, Route route, ServiceId service, RequestSize size) {
    Set<RegionId> holding = holdingRegions(nowNanos, size);
    Map<RegionId, RegionOption> best = new HashMap<>();
    for (PeerRecord peer : peers.serving(nowNanos)) {
      Double wait = peer.waitMillis().get(service);
      Long paused = pausedRegions.get(peer.region());
      boolean open = paused == null || nowNanos - paused >= 0;
      if (wait == null
          || !open
          || isPaused(nowNanos, peer)
          || !route.allows(peer.region())
          || peer.region().equals(place().region())) {
        continue;
      }
      best.merge(
          peer.region(),
          new RegionOption(peer.region(), wait, AWAY_MILLIS, holding.contains(peer.region())),
          (a, b) -> a.waitMillis() >= b.waitMillis() ? a : b);
    }
    return List.copyOf(best.values());
  }

  /** Leaves a region alone for a moment, after it refused or could not be reached. */
  public void pauseRegion(long nowNanos, RegionId region) {
    pausedRegions.put(region, nowNanos + REGION_PAUSE_NANOS);
  }

  /** Leaves an instance alone for a moment, after it could not be reached. */
  public void pauseInstance(long nowNanos, InstanceId instance) {
    pausedInstances.put(instance, nowNanos + INSTANCE_PAUSE_NANOS);
  }

  private boolean isPaused(long nowNanos, PeerRecord peer) {
    Long until = pausedInstances.get(peer.id());
    return until != null && nowNanos - until < 0;
  }

  /** Returns an instance of a region that takes forwarded requests. */
  public Optional<PeerRecord> instanceIn(long nowNanos, RegionId region) {
    List<PeerRecord> there =
        peers.serving(nowNanos).stream()
            .filter(p -> p.region().equals(region))
            .filter(p -> !isPaused(nowNanos, p))
            .toList();
    return there.isEmpty()
        ? Optional.empty()
        : Optional.of(there.get(ThreadLocalRandom.current().nextInt(there.size())));
  }

  /** Returns the repeats of a service. */
  RepeatWindow repeats(ServiceId service) {
    GatewayBounds bounds = place().bounds();
    return repeats.computeIfAbsent(
        service,
        s ->
            new RepeatWindow(
                TimeUnit.MILLISECONDS.toNanos(bounds.repeatWindowMillis()),
                bounds.repeatShare() * PART_OF_BOUND));
  }

  /** Returns this instance's part of the extra repeats. */
  double extraRepeats() {
    int sharers = Math.max(ASSUMED_ALL, peers.count());
    return PART_OF_BOUND * place().bounds().repeatExtra() / sharers;
  }

  /** Returns whether requests can be served. */
  public boolean ready() {
    return !leaving && published.get().routes().isPresent();
  }

  /** Begins the shutdown. */
  public void leave() {
    leaving = true;
  }

  /** Returns whether the shutdown has begun. */
  public boolean leaving() {
    return leaving;
  }

  /** Takes no more requests. */
  void refuse() {
    refusing = true;
  }

  boolean refusing() {
    return refusing;
  }

  /** Drops what may have become false while this process stood still. */
  public void forgetAfterPause(long nowNanos) {
    peers.forgetTimes(nowNanos);
  }
}
