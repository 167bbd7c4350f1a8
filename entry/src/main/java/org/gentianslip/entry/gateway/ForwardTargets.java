package org.gentianslip.entry.gateway;

import com.google.common.flogger.FluentLogger;
import com.google.common.flogger.LazyArgs;
import com.google.common.flogger.LogSite;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.gentianslip.core.fleet.FleetSnapshot;
import org.gentianslip.core.fleet.FleetView;
import org.gentianslip.core.fleet.HeardWait;
import org.gentianslip.core.fleet.PeerRecord;
import org.gentianslip.core.fleet.ServiceWait;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.load.RegionOption;
import org.gentianslip.core.load.RegionPace;
import org.gentianslip.core.route.Route;
import org.gentianslip.entry.logging.FixedLogSite;

/**
 * Selects the regions and instances that requests may be forwarded to.
 *
 * <p>Safe for use by several threads.
 */
final class ForwardTargets {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final LogSite REGIONS_SITE = FixedLogSite.of(ForwardTargets.class, "log");

  /** The regions that one log line describes, at most. */
  private static final int MAX_LOGGED_REGIONS = 16;

  /** How long no request is forwarded to an instance after it failed. */
  private static final long INSTANCE_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  private static final double NANOS_PER_MILLI = 1e6;

  /** The assumed one-way time to another region, in milliseconds. */
  static final long ONE_WAY_MILLIS = 56;

  /** The assumed round-trip time to another region, in milliseconds. */
  private static final double DEFAULT_ROUND_TRIP_MILLIS = 2 * ONE_WAY_MILLIS;

  /** The assumed one-way time to an instance of the own region, in milliseconds. */
  private static final long NEAR_ONE_WAY_MILLIS = 1;

  private static final double NEAR_ROUND_TRIP_MILLIS = 2 * NEAR_ONE_WAY_MILLIS;

  private final FleetView fleet;
  private final RegionId ownRegion;
  private final Map<PaceKey, RegionPace> paces = new ConcurrentHashMap<>();
  private final Map<InstanceId, Long> instancePausedUntil = new ConcurrentHashMap<>();

  private record PaceKey(RegionId region, ServiceId service) {}

  ForwardTargets(FleetView fleet, RegionId ownRegion) {
    this.fleet = fleet;
    this.ownRegion = ownRegion;
  }

  /** Returns the assumed one-way time to an instance of a region, in milliseconds. */
  long oneWayMillis(RegionId region) {
    return region.equals(ownRegion) ? NEAR_ONE_WAY_MILLIS : ONE_WAY_MILLIS;
  }

  /** Returns the other instances of the own region that reach a service. */
  List<PeerRecord> reachingNeighbours(long nowNanos, ServiceId service) {
    return fleet.snapshot(nowNanos).reaching(ownRegion, service);
  }

  /**
   * Returns the regions whose instances may serve a request.
   *
   * @param promptRegions the regions with an engine that holds the shared part of the prompt
   * @param usable tests whether the request may be sent to a region
   * @param neighbours whether the other instances of the own region are among them
   */
  List<RegionOption> candidates(
      long nowNanos,
      Route route,
      ServiceId service,
      Set<RegionId> promptRegions,
      Predicate<RegionId> usable,
      boolean neighbours) {
    FleetSnapshot snapshot = fleet.snapshot(nowNanos);
    List<RegionOption> options = new ArrayList<>();
    for (RegionId region : snapshot.regions()) {
      boolean near = region.equals(ownRegion);
      Optional<HeardWait> wait = snapshot.statedWait(region, service);
      boolean known = near ? neighbours : wait.isPresent();
      boolean allowed = known && route.allows(region) && usable.test(region);
      if (!allowed || snapshot.reaching(region, service).isEmpty()) {
        continue;
      }
      if (near) {
        options.add(
            new RegionOption(
                region,
                ServiceWait.UNKNOWN,
                NEAR_ROUND_TRIP_MILLIS,
                promptRegions.contains(region),
                millis(delayNanos(nowNanos, region, service)),
                0));
      } else {
        options.add(
            new RegionOption(
                region,
                wait.get().stated(),
                DEFAULT_ROUND_TRIP_MILLIS,
                promptRegions.contains(region),
                millis(delayNanos(nowNanos, region, service)),
                millis(wait.get().renewalNanos(nowNanos))));
      }
    }
    log(nowNanos, service, snapshot);
    return options;
  }

  /** Logs what is believed of the regions, where that may keep requests away. */
  private void log(long nowNanos, ServiceId service, FleetSnapshot snapshot) {
    LOGGER
        .atInfo()
        .withInjectedLogSite(REGIONS_SITE)
        .atMostEvery(1, TimeUnit.SECONDS)
        .log(
            "gateway: event=regions service=%s believed=[%s]",
            service,
            LazyArgs.lazy(
                () ->
                    snapshot.regions().stream()
                        .limit(MAX_LOGGED_REGIONS)
                        .map(r -> describe(nowNanos, r, service, snapshot.statedWait(r, service)))
                        .collect(Collectors.joining("; "))));
  }

  private String describe(
      long nowNanos, RegionId region, ServiceId service, Optional<HeardWait> wait) {
    return region
        + wait.map(
                w ->
                    " wait="
                        + Math.round(w.stated().waitMillis())
                        + " failures="
                        + Math.round(w.stated().failureMillis())
                        + " age="
                        + TimeUnit.NANOSECONDS.toMillis(nowNanos - w.heardNanos()))
            .orElse(" no-server")
        + " reaching="
        + fleet.snapshot(nowNanos).reaching(region, service).size()
        + " paused="
        + TimeUnit.NANOSECONDS.toMillis(delayNanos(nowNanos, region, service));
  }

  /** Returns how long no request may be forwarded to a region, in nanoseconds. */
  private long delayNanos(long nowNanos, RegionId region, ServiceId service) {
    long instanceNanos =
        fleet.snapshot(nowNanos).reaching(region, service).stream()
            .mapToLong(p -> pauseNanos(nowNanos, p))
            .min()
            .orElse(0);
    return Math.max(instanceNanos, pace(region, service).delayNanos(nowNanos));
  }

  private static double millis(long nanos) {
    return nanos / NANOS_PER_MILLI;
  }

  private RegionPace pace(RegionId region, ServiceId service) {
    return paces.computeIfAbsent(new PaceKey(region, service), k -> new RegionPace());
  }

  /** Records that a request is forwarded to a region. */
  void recordSend(long nowNanos, RegionId region, ServiceId service) {
    pace(region, service).recordSend(nowNanos);
  }

  /** Records that a region has answered a request. */
  void recordAnswer(long nowNanos, RegionId region, ServiceId service) {
    pace(region, service).recordAnswer(nowNanos);
  }

  /** Records that a region has refused a request or has no available instance. */
  void recordRefusal(long nowNanos, RegionId region, ServiceId service) {
    RegionPace pace = pace(region, service);
    pace.setInstances(senders(nowNanos, region));
    pace.recordRefusal(nowNanos);
  }

  /** Returns the number of instances that may forward requests to a region, with this one. */
  private int senders(long nowNanos, RegionId region) {
    FleetSnapshot snapshot = fleet.snapshot(nowNanos);
    int others =
        snapshot.regions().stream()
            .filter(r -> !r.equals(region))
            .mapToInt(r -> snapshot.serving(r).size())
            .sum();
    return 1 + others;
  }

  /** Pauses forwarding to an instance that failed or could not be reached. */
  void pauseInstance(long nowNanos, InstanceId instance) {
    instancePausedUntil.put(instance, nowNanos + INSTANCE_PAUSE_NANOS);
  }

  private long pauseNanos(long nowNanos, PeerRecord peer) {
    Long pausedUntil = instancePausedUntil.get(peer.id());
    return pausedUntil == null ? 0 : Math.max(0, pausedUntil - nowNanos);
  }

  /**
   * Returns an available instance of a region that reaches a service, drawn in proportion to the
   * present capacities.
   */
  Optional<PeerRecord> selectInstance(long nowNanos, RegionId region, ServiceId service) {
    List<PeerRecord> available =
        fleet.snapshot(nowNanos).reaching(region, service).stream()
            .filter(p -> pauseNanos(nowNanos, p) == 0)
            .toList();
    long total = available.stream().mapToLong(PeerRecord::capacity).sum();
    if (total <= 0) {
      return available.stream().findFirst();
    }
    long drawn = ThreadLocalRandom.current().nextLong(total);
    for (PeerRecord peer : available) {
      drawn -= peer.capacity();
      if (drawn < 0) {
        return Optional.of(peer);
      }
    }
    return Optional.empty();
  }
}
