package org.gentianslip.entry.gateway;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Predicate;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.limit.RepeatWindow;
import org.gentianslip.core.load.BackendLoad;
import org.gentianslip.core.load.Candidates;
import org.gentianslip.core.load.PromptDirectory;
import org.gentianslip.core.load.PromptHolder;
import org.gentianslip.core.load.RegionOption;
import org.gentianslip.core.load.RequestSize;
import org.gentianslip.core.membership.PeerRegistry;
import org.gentianslip.core.published.Backend;
import org.gentianslip.core.published.PublishedState;
import org.gentianslip.core.route.Route;

/**
 * Holds all that this instance knows: what is published, the load of backend servers, and the other
 * instances.
 *
 * <p>What is published is swapped as a whole. Safe for use by several threads.
 */
public final class GatewayState {

  /** The instances in all that are assumed before others were heard. */
  private static final int ASSUMED_ALL = 8;

  private final AtomicReference<GatewayPlace> place;
  private final AtomicReference<PublishedState> published =
      new AtomicReference<>(PublishedState.NONE);
  private final Map<ServiceId, RepeatWindow> repeats = new ConcurrentHashMap<>();
  private final PeerRegistry peers;
  private final BackendBook backends;
  private final PromptPlaces prompts;
  private final RegionBook regions;
  private volatile boolean leaving;
  private volatile boolean refusing;
  private volatile long confirmedNanos = System.nanoTime();

  /** Creates a state that knows nothing but the place. */
  public GatewayState(GatewayPlace place) {
    this.place = new AtomicReference<>(place);
    this.peers = new PeerRegistry(place.id(), place.region());
    this.backends = new BackendBook(this::place, peers);
    this.prompts = new PromptPlaces(this::place);
    this.regions = new RegionBook(peers, place.region());
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
  public PeerRegistry peers() {
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
    PublishedState after = next.withRoutesNotOlderThan(before);
    published.set(after);
    backends.publish(nowNanos, before, after);
    prompts.publish(before, after);
    PublishedLog.report(before, after);
  }

  /** Returns the load of a backend server, if it is known. */
  public Optional<BackendLoad> load(EngineId id) {
    return backends.load(id);
  }

  /** Returns the loads of all backend servers that this instance may use. */
  public Map<EngineId, BackendLoad> loads() {
    return backends.loads();
  }

  /** Returns the engines that hold the shared part of a request's prompt, the latest first. */
  List<Backend> holders(long nowNanos, Route route, RequestSize size) {
    return prompts.holders(nowNanos, published.get(), route, size);
  }

  /**
   * Returns the backend servers of this region to weigh for a request.
   *
   * @param holders the engines that hold the shared part of its prompt, the latest first
   * @param usable whether the request may go to a backend server
   */
  Candidates candidates(
      long nowNanos,
      ServiceId service,
      RequestSize size,
      List<Backend> holders,
      Predicate<EngineId> usable) {
    PublishedState state = published.get();
    List<EngineId> ids = holders.stream().map(Backend::id).toList();
    Candidates found = backends.candidates(nowNanos, state, service, usable, size, ids);
    return prompts.withFetch(state, service, size, holders, found);
  }

  /** Returns which engines have read which shared parts of prompts. */
  public PromptDirectory prompts() {
    return prompts.directory();
  }

  /** Notes that an engine has read a prompt. */
  void promptRead(long nowNanos, EngineId engine, RequestSize size) {
    prompts.read(nowNanos, engine, size);
  }

  /** Takes from another instance that an engine has read a part of a prompt. */
  public void heardPrompt(long nowNanos, PromptHolder holder) {
    if (prompts.directory().record(nowNanos, holder)) {
      load(holder.engine()).ifPresent(l -> l.recordPrefill(holder.part()));
    }
  }

  /** Returns the wait for a request to each service that has backend servers in this region. */
  public Map<ServiceId, Double> waits(long nowNanos) {
    return backends.waits(nowNanos, published.get());
  }

  /**
   * Returns the other regions that may serve a request.
   *
   * @param holders the engines that hold the shared part of its prompt
   */
  List<RegionOption> regions(long nowNanos, Route route, ServiceId service, List<Backend> holders) {
    return regions.regions(nowNanos, route, service, prompts.regions(holders));
  }

  /** Returns the instances of other regions. */
  RegionBook regionBook() {
    return regions;
  }

  /** Returns the repeats of a service. */
  RepeatWindow repeats(ServiceId service) {
    GatewayBounds bounds = place().bounds();
    return repeats.computeIfAbsent(
        service,
        s ->
            new RepeatWindow(
                TimeUnit.MILLISECONDS.toNanos(bounds.repeatWindowMillis()),
                bounds.repeatShare() * GatewayBounds.PART_OF_BOUND));
  }

  /** Returns this instance's part of the extra repeats. */
  double extraRepeats() {
    int sharers = Math.max(ASSUMED_ALL, peers.count());
    return GatewayBounds.PART_OF_BOUND * place().bounds().repeatExtra() / sharers;
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
    peers.expireAll(nowNanos);
  }
}
