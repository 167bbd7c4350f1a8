package org.gentianslip.entry.gateway;

import com.google.common.flogger.FluentLogger;
import com.google.common.flogger.LazyArgs;
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
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.load.RegionOption;
import org.gentianslip.core.route.Route;

/**
 * Selects the regions and instances that requests may be forwarded to.
 *
 * <p>Safe for use by several threads.
 */
final class ForwardTargets {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** The regions that one log line describes, at most. */
  private static final int MAX_LOGGED_REGIONS = 16;

  /** How long no request is forwarded to a region after it refused one. */
  private static final long REGION_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

  /** How long no request is forwarded to an instance after it failed. */
  private static final long INSTANCE_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  /** The assumed round-trip time to another region, in milliseconds. */
  private static final double DEFAULT_ROUND_TRIP_MILLIS = 112;

  private final FleetView fleet;
  private final RegionId ownRegion;
  private final Map<RegionId, Long> regionPausedUntil = new ConcurrentHashMap<>();
  private final Map<InstanceId, Long> instancePausedUntil = new ConcurrentHashMap<>();

  ForwardTargets(FleetView fleet, RegionId ownRegion) {
    this.fleet = fleet;
    this.ownRegion = ownRegion;
  }

  /**
   * Returns the other regions that may serve a request.
   *
   * @param promptRegions the regions with an engine that holds the shared part of the prompt
   * @param usable tests whether the request may be sent to a region
   */
  List<RegionOption> candidates(
      long nowNanos,
      Route route,
      ServiceId service,
      Set<RegionId> promptRegions,
      Predicate<RegionId> usable) {
    FleetSnapshot snapshot = fleet.snapshot(nowNanos);
    List<RegionOption> options = new ArrayList<>();
    for (RegionId region : snapshot.regions()) {
      Optional<HeardWait> wait = snapshot.statedWait(region, service);
      Long pausedUntil = regionPausedUntil.get(region);
      boolean regionAvailable = pausedUntil == null || nowNanos - pausedUntil >= 0;
      if (wait.isPresent()
          && regionAvailable
          && !region.equals(ownRegion)
          && route.allows(region)
          && usable.test(region)
          && selectInstance(nowNanos, region).isPresent()) {
        options.add(
            new RegionOption(
                region,
                wait.get().stated(),
                DEFAULT_ROUND_TRIP_MILLIS,
                promptRegions.contains(region)));
      }
    }
    log(nowNanos, service, snapshot);
    return options;
  }

  /** Logs what is believed of the regions, where that may keep requests away. */
  private void log(long nowNanos, ServiceId service, FleetSnapshot snapshot) {
    LOGGER.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
        "gateway: event=regions service=%s believed=[%s]",
        service,
        LazyArgs.lazy(
            () ->
                snapshot.regions().stream()
                    .limit(MAX_LOGGED_REGIONS)
                    .map(r -> describe(nowNanos, r, snapshot.statedWait(r, service)))
                    .collect(Collectors.joining("; "))));
  }

  private String describe(long nowNanos, RegionId region, Optional<HeardWait> wait) {
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
        + " paused="
        + TimeUnit.NANOSECONDS.toMillis(pauseNanos(nowNanos, region));
  }

  private long pauseNanos(long nowNanos, RegionId region) {
    Long until = regionPausedUntil.get(region);
    return until == null ? 0 : Math.max(0, until - nowNanos);
  }

  /** Pauses forwarding to a region that refused a request or has no available instance. */
  void pauseRegion(long nowNanos, RegionId region) {
    regionPausedUntil.put(region, nowNanos + REGION_PAUSE_NANOS);
  }

  /** Pauses forwarding to an instance that failed or could not be reached. */
  void pauseInstance(long nowNanos, InstanceId instance) {
    instancePausedUntil.put(instance, nowNanos + INSTANCE_PAUSE_NANOS);
  }

  private boolean isPaused(long nowNanos, PeerRecord peer) {
    Long pausedUntil = instancePausedUntil.get(peer.id());
    return pausedUntil != null && nowNanos - pausedUntil < 0;
  }

  /** Returns a random available instance of a region. */
  Optional<PeerRecord> selectInstance(long nowNanos, RegionId region) {
    List<PeerRecord> available =
        fleet.snapshot(nowNanos).serving(region).stream()
            .filter(p -> !isPaused(nowNanos, p))
            .toList();
    return available.isEmpty()
        ? Optional.empty()
        : Optional.of(available.get(ThreadLocalRandom.current().nextInt(available.size())));
  }
}
