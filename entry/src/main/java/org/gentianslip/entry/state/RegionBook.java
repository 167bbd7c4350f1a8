package org.gentianslip.entry.state;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.gentianslip.core.id.RegionId;

/**
 * Holds the latest report of each other region.
 *
 * <p>A report never replaces a later one. Safe for use by several threads.
 */
public final class RegionBook {

  /** How old a report may be before its region counts as unreachable, in nanoseconds. */
  public static final long FRESH_NANOS = 3_000_000_000L;

  private final Map<RegionId, RegionReport> reports = new ConcurrentHashMap<>();

  /** Takes a report. */
  public void take(RegionReport report) {
    reports.merge(report.region(), report, RegionBook::later);
  }

  private static RegionReport later(RegionReport old, RegionReport next) {
    if (next.seenNanos() - old.seenNanos() <= 0) {
      return old;
    }
    long roundTrip = next.roundTripNanos() > 0 ? next.roundTripNanos() : old.roundTripNanos();
    return new RegionReport(next.region(), next.freeSlots(), next.seenNanos(), roundTrip);
  }

  /** Returns the report of a region, unless it is too old to act on. */
  public Optional<RegionReport> fresh(long nowNanos, RegionId region) {
    return Optional.ofNullable(reports.get(region))
        .filter(r -> nowNanos - r.seenNanos() < FRESH_NANOS);
  }

  /** Returns all reports. */
  public Collection<RegionReport> all() {
    return List.copyOf(reports.values());
  }

  /** Forgets all reports, after a pause of this process. */
  public void clear() {
    reports.clear();
  }
}
