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
 * Tells which other regions and which of their instances may take a request.
 *
 * <p>Safe for use by several threads.
 */
final class RegionBook {

  /** How long a region that refused is left alone. */
  private static final long REGION_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

  /** How long an instance that could not be reached is left alone. */
  private static final long INSTANCE_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  /** The round trip to an instance of another region, in milliseconds, while none was measured. */
  private static final double AWAY_MILLIS = 112;

  private final PeerRegistry peers;
  private final RegionId own;
  private final Map<RegionId, Long> pausedRegions = new ConcurrentHashMap<>();
  private final Map<InstanceId, Long> pausedInstances = new ConcurrentHashMap<>();

  RegionBook(PeerRegistry peers, RegionId own) {
    this.peers = peers;
    this.own = own;
  }

  /**
   * Returns the other regions that may serve a request.
   *
   * @param holding the regions with an engine that has read the shared part of its prompt
   */
  List<RegionOption> regions(long nowNanos, Route route, ServiceId service, Set<RegionId> holding) {
    Map<RegionId, RegionOption> best = new HashMap<>();
    for (PeerRecord peer : peers.serving(nowNanos)) {
      Double wait = peer.waitMillis().get(service);
      Long paused = pausedRegions.get(peer.region());
      boolean open = paused == null || nowNanos - paused >= 0;
      if (wait == null
          || !open
          || isPaused(nowNanos, peer)
          || !route.allows(peer.region())
          || peer.region().equals(own)) {
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
  void pauseRegion(long nowNanos, RegionId region) {
    pausedRegions.put(region, nowNanos + REGION_PAUSE_NANOS);
  }

  /** Leaves an instance alone for a moment, after it could not be reached. */
  void pauseInstance(long nowNanos, InstanceId instance) {
    pausedInstances.put(instance, nowNanos + INSTANCE_PAUSE_NANOS);
  }

  private boolean isPaused(long nowNanos, PeerRecord peer) {
    Long until = pausedInstances.get(peer.id());
    return until != null && nowNanos - until < 0;
  }

  /** Returns an instance of a region that takes forwarded requests. */
  Optional<PeerRecord> instanceIn(long nowNanos, RegionId region) {
    List<PeerRecord> there =
        peers.serving(nowNanos).stream()
            .filter(p -> p.region().equals(region))
            .filter(p -> !isPaused(nowNanos, p))
            .toList();
    return there.isEmpty()
        ? Optional.empty()
        : Optional.of(there.get(ThreadLocalRandom.current().nextInt(there.size())));
  }
}
