package org.gentianslip.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.ServiceId;

/**
 * The instances that accept requests and the waits of the regions, as of one moment.
 *
 * <p>Lets the path of a request read the fleet without looking at every instance. Immutable and
 * thread-safe.
 */
public final class FleetSnapshot {

  /** How long a snapshot may be used, as silence is noticed only by the passing of time. */
  static final long MAX_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  static final FleetSnapshot EMPTY = new FleetSnapshot(0, -1, Map.of(), Map.of(), QuotaView.NONE);

  private final long takenNanos;
  private final long change;
  private final Map<RegionId, List<PeerRecord>> servingByRegion;

  /** The regions with instances that do not reach some service. */
  private final Set<RegionId> cutOffRegions = new HashSet<>();

  private final Map<RegionId, Map<ServiceId, HeardWait>> waitsByRegion;
  private final QuotaView quotas;

  private FleetSnapshot(
      long takenNanos,
      long change,
      Map<RegionId, List<PeerRecord>> servingByRegion,
      Map<RegionId, Map<ServiceId, HeardWait>> waitsByRegion,
      QuotaView quotas) {
    this.takenNanos = takenNanos;
    this.change = change;
    this.servingByRegion = servingByRegion;
    this.waitsByRegion = waitsByRegion;
    this.quotas = quotas;
    servingByRegion.forEach(
        (region, peers) -> {
          if (peers.stream().anyMatch(p -> !p.unreached().isEmpty())) {
            cutOffRegions.add(region);
          }
        });
  }

  static FleetSnapshot of(
      long nowNanos,
      long change,
      Collection<PeerRecord> live,
      Collection<HeardSummary> summaries,
      QuotaView quotas) {
    Map<RegionId, List<PeerRecord>> serving = new HashMap<>();
    for (PeerRecord p : live) {
      if (p.ready() && !p.leaving()) {
        serving.computeIfAbsent(p.region(), r -> new ArrayList<>()).add(p);
      }
    }
    Map<RegionId, Map<ServiceId, HeardWait>> waits = new HashMap<>();
    for (HeardSummary s : summaries) {
      Map<ServiceId, HeardWait> ofRegion =
          waits.computeIfAbsent(s.summary().region(), r -> new HashMap<>());
      s.summary()
          .waits()
          .forEach(
              (service, wait) ->
                  ofRegion.merge(service, new HeardWait(wait, s.heardNanos()), HeardWait::longer));
    }
    return new FleetSnapshot(nowNanos, change, serving, waits, quotas);
  }

  boolean isCurrent(long nowNanos, long lastChange) {
    return change == lastChange && nowNanos - takenNanos < MAX_AGE_NANOS;
  }

  /** Returns what is known of other instances for the quotas of customers. */
  QuotaView quotas() {
    return quotas;
  }

  /** Returns the regions that have other instances which accept requests. */
  public Collection<RegionId> regions() {
    return servingByRegion.keySet();
  }

  /** Returns the other instances of a region that accept requests. */
  public List<PeerRecord> serving(RegionId region) {
    return servingByRegion.getOrDefault(region, List.of());
  }

  /** Returns the other instances of a region that accept requests and reach a service. */
  public List<PeerRecord> reaching(RegionId region, ServiceId service) {
    List<PeerRecord> serving = serving(region);
    return cutOffRegions.contains(region)
        ? serving.stream().filter(p -> !p.unreached().contains(service)).toList()
        : serving;
  }

  /**
   * Returns the longest wait and the highest cost of failures that the data centres of a region
   * state for a service, or an empty value if none of them can reach it.
   */
  public Optional<HeardWait> statedWait(RegionId region, ServiceId service) {
    return Optional.ofNullable(waitsByRegion.getOrDefault(region, Map.of()).get(service));
  }
}
