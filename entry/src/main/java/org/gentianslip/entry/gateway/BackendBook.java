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
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.load.BackendGroup;
import org.gentianslip.core.load.BackendLoad;
import org.gentianslip.core.load.Candidates;
import org.gentianslip.core.load.RequestSize;
import org.gentianslip.core.membership.PeerRegistry;
import org.gentianslip.core.published.Backend;
import org.gentianslip.core.published.PublishedState;
import org.gentianslip.core.route.EngineProfile;
import org.gentianslip.core.route.ServiceProfile;

/**
 * Holds the loads of backend servers and tells which of them may get work.
 *
 * <p>Safe for use by several threads.
 */
final class BackendBook {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** The instances of a region that are assumed before others were heard. */
  private static final int ASSUMED_NEAR = 3;

  private final Supplier<GatewayPlace> place;
  private final PeerRegistry peers;
  private final Map<EngineId, BackendLoad> loads = new ConcurrentHashMap<>();

  /** Those of this region that may get work as far as is published; swapped as a whole. */
  private volatile Map<ServiceId, BackendGroup> groups = Map.of();

  BackendBook(Supplier<GatewayPlace> place, PeerRegistry peers) {
    this.place = place;
    this.peers = peers;
  }

  /** Takes what is published now, after what was published before. */
  void publish(long nowNanos, PublishedState before, PublishedState after) {
    if (after.routes().isPresent()) {
      PublishedState known = before.routes().isPresent() ? before : PublishedState.NONE;
      noteCold(nowNanos, known, after);
    }
    loads.keySet().retainAll(after.backends().keySet());
    groups = groups(after);
  }

  private Map<ServiceId, BackendGroup> groups(PublishedState state) {
    Map<ServiceId, List<BackendGroup.Member>> members = new HashMap<>();
    for (Backend b : state.backends().values()) {
      if (place.get().isNear(b) && state.acceptsWork(b)) {
        members
            .computeIfAbsent(b.service(), s -> new ArrayList<>())
            .add(new BackendGroup.Member(b, loadOf(state, b)));
      }
    }
    Map<ServiceId, BackendGroup> made = new HashMap<>();
    members.forEach((service, of) -> made.put(service, BackendGroup.of(of)));
    return Map.copyOf(made);
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
        loadOf(after, b).markColdUntil(nowNanos + TimeUnit.MILLISECONDS.toNanos(cold));
        LOGGER.atInfo().log("gateway: event=cold backend=%s millis=%s", b.id(), cold);
      }
    }
  }

  static Optional<ServiceProfile> profile(PublishedState state, ServiceId service) {
    return state.routes().flatMap(r -> r.service(service));
  }

  private BackendLoad loadOf(PublishedState state, Backend backend) {
    EngineProfile engine =
        profile(state, backend.service()).flatMap(ServiceProfile::engine).orElse(null);
    return loads.compute(
        backend.id(),
        (id, known) ->
            known == null ? new BackendLoad(backend.slots(), engine) : known.withProfile(engine));
  }

  /** Returns the load of a backend server, if it is known. */
  Optional<BackendLoad> load(EngineId id) {
    return Optional.ofNullable(loads.get(id));
  }

  /** Returns the loads of all backend servers that this instance may use. */
  Map<EngineId, BackendLoad> loads() {
    return Map.copyOf(loads);
  }

  /**
   * Returns the backend servers of this region to weigh for a request.
   *
   * @param usable whether the request may go to a backend server
   * @param holders the engines that hold the shared part of its prompt, the best first
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
            nowNanos, coldPace(state, service), usable, size, holders, ThreadLocalRandom.current());
  }

  /** Returns the requests that this instance may send to a cold backend server in a second. */
  private double coldPace(PublishedState state, ServiceId service) {
    double all = profile(state, service).map(ServiceProfile::coldPerSecond).orElse(0.0);
    if (all <= 0) {
      return 0;
    }
    GatewayBounds bounds = place.get().bounds();
    int sharers = Math.max(ASSUMED_NEAR, peers.countInRegion());
    return GatewayBounds.PART_OF_BOUND * (all * bounds.coldShare() + bounds.coldExtra()) / sharers;
  }

  /** Returns the wait for a request to each service that has backend servers in this region. */
  Map<ServiceId, Double> waits(long nowNanos, PublishedState state) {
    Map<ServiceId, Double> waits = new HashMap<>();
    for (ServiceId service : groups.keySet()) {
      candidates(nowNanos, state, service, id -> true, RequestSize.UNKNOWN, List.of())
          .options()
          .stream()
          .map(o -> o.load().estimate(nowNanos, false, RequestSize.UNKNOWN, Optional.empty()))
          .mapToDouble(e -> e.waitMillis() + e.failureMillis())
          .min()
          .ifPresent(w -> waits.put(service, w));
    }
    return waits;
  }
}
