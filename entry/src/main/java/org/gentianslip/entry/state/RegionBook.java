package org.gentianslip.entry.state;

import java.util.Collection;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.limit.ByteBudget;
import org.gentianslip.core.limit.EngineShare;
import org.gentianslip.core.routing.RegionSummary;

/**
 * Holds the latest report of each other region, and what this instance has sent there since.
 *
 * <p>A report never replaces a later one. Safe for use by several threads.
 */
public final class RegionBook {

  /** How old a report may be before its region counts as unreachable, in nanoseconds. */
  public static final long FRESH_NANOS = 4_000_000_000L;

  /** Holds one region; its fields change under its own lock. */
  private static final class Page {
    private RegionReport report;
    private int sentSinceReport;
    private double bytesPerSecond;
    private ByteBudget budget;
  }

  private final Map<RegionId, Page> pages = new ConcurrentHashMap<>();

  /** Takes a report. */
  public void take(RegionReport report) {
    Page page = pages.computeIfAbsent(report.region(), r -> new Page());
    synchronized (page) {
      RegionReport old = page.report;
      if (old != null && report.seenNanos() - old.seenNanos() <= 0) {
        return;
      }
      page.report = old == null ? report : report.orRoundTrip(old.roundTripNanos());
      page.sentSinceReport = 0;
    }
  }

  /** Notes that a request is sent to a region. */
  public void sent(long nowNanos, RegionId region, long bytes) {
    Page page = pages.computeIfAbsent(region, r -> new Page());
    synchronized (page) {
      page.sentSinceReport++;
      if (page.budget != null) {
        page.budget.take(nowNanos, bytes);
      }
    }
  }

  /** Bounds what this instance may send to a region. */
  public void limit(long nowNanos, RegionId region, double bytesPerSecond) {
    Page page = pages.computeIfAbsent(region, r -> new Page());
    synchronized (page) {
      if (page.budget == null || page.bytesPerSecond != bytesPerSecond) {
        page.bytesPerSecond = bytesPerSecond;
        page.budget = ByteBudget.of(bytesPerSecond, nowNanos);
      }
    }
  }

  /**
   * Returns what the routing policy may know of a region.
   *
   * @param share this instance's place among those that may send requests there
   * @param open whether requests may be sent there for now
   */
  public RegionSummary summary(long nowNanos, RegionId region, EngineShare share, boolean open) {
    Page page = pages.get(region);
    if (page == null) {
      return new RegionSummary(region, 0, 0, 0, false);
    }
    synchronized (page) {
      RegionReport r = page.report;
      if (r == null || nowNanos - r.seenNanos() >= FRESH_NANOS) {
        return new RegionSummary(region, 0, 0, 0, false);
      }
      int quota = Math.max(0, share.portionOfFree(r.freeSlots()) - page.sentSinceReport);
      long bytes = page.budget == null ? Long.MAX_VALUE : page.budget.free(nowNanos);
      return new RegionSummary(
          region, r.freeSlots(), r.seenNanos(), r.roundTripNanos(), open, quota, bytes);
    }
  }

  /** Returns the report of a region, unless it is too old to act on. */
  public Optional<RegionReport> fresh(long nowNanos, RegionId region) {
    return Optional.ofNullable(pages.get(region))
        .map(RegionBook::reportOf)
        .filter(r -> nowNanos - r.seenNanos() < FRESH_NANOS);
  }

  private static RegionReport reportOf(Page page) {
    synchronized (page) {
      return page.report;
    }
  }

  /** Returns all reports. */
  public Collection<RegionReport> all() {
    return pages.values().stream().map(RegionBook::reportOf).filter(Objects::nonNull).toList();
  }

  /** Forgets all reports, after a pause of this process. */
  public void clear() {
    pages.clear();
  }
}
