package org.gentianslip.entry.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.gentianslip.core.fleet.FleetSnapshot;
import org.gentianslip.core.fleet.FleetView;
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
      OptionalInt wait = snapshot.waitMillis(region, service);
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
                wait.getAsInt(),
                DEFAULT_ROUND_TRIP_MILLIS,
                promptRegions.contains(region)));
      }
    }
    return options;
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
