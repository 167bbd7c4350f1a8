package org.gentianslip.entry.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.load.RegionOption;
import org.gentianslip.core.membership.PeerRecord;
import org.gentianslip.core.membership.PeerRegistry;
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

  private final PeerRegistry peers;
  private final RegionId ownRegion;
  private final Map<RegionId, Long> regionPausedUntil = new ConcurrentHashMap<>();
  private final Map<InstanceId, Long> instancePausedUntil = new ConcurrentHashMap<>();

  ForwardTargets(PeerRegistry peers, RegionId ownRegion) {
    this.peers = peers;
    this.ownRegion = ownRegion;
  }

  /**
   * Returns the other regions that may serve a request.
   *
   * @param promptRegions the regions with an engine that holds the shared part of the prompt
   */
  List<RegionOption> candidates(
      long nowNanos, Route route, ServiceId service, Set<RegionId> promptRegions) {
    Map<RegionId, RegionOption> byRegion = new HashMap<>();
    for (PeerRecord peer : peers.serving(nowNanos)) {
      Double wait = peer.waitMillis().get(service);
      Long pausedUntil = regionPausedUntil.get(peer.region());
      boolean regionAvailable = pausedUntil == null || nowNanos - pausedUntil >= 0;
      if (wait == null
          || !regionAvailable
          || isPaused(nowNanos, peer)
          || !route.allows(peer.region())
          || peer.region().equals(ownRegion)) {
        continue;
      }
      // The wait of a region is the longest one that its instances report.
      byRegion.merge(
          peer.region(),
          new RegionOption(
              peer.region(),
              wait,
              DEFAULT_ROUND_TRIP_MILLIS,
              promptRegions.contains(peer.region())),
          (a, b) -> a.waitMillis() >= b.waitMillis() ? a : b);
    }
    return List.copyOf(byRegion.values());
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
        peers.serving(nowNanos).stream()
            .filter(p -> p.region().equals(region))
            .filter(p -> !isPaused(nowNanos, p))
            .toList();
    return available.isEmpty()
        ? Optional.empty()
        : Optional.of(available.get(ThreadLocalRandom.current().nextInt(available.size())));
  }
}
