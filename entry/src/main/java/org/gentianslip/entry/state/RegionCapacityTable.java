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
 * Holds the latest capacity report of each other region and what this instance has sent there
 * since.
 *
 * <p>A report never replaces a later one. Safe for use by several threads.
 */
public final class RegionCapacityTable {

  /**
   * The age at which a report becomes outdated, so that its region counts as unreachable, in
   * nanoseconds.
   */
  public static final long MAX_REPORT_AGE_NANOS = 4_000_000_000L;

  /** The state of one region; its fields are guarded by its own lock. */
  private static final class RegionEntry {
    private RegionCapacityReport report;
    private int sentSinceReport;
    private double bytesPerSecond;
    private ByteBudget budget;
  }

  private final Map<RegionId, RegionEntry> entries = new ConcurrentHashMap<>();

  /** Applies a report. */
  public void applyReport(RegionCapacityReport report) {
    RegionEntry entry = entries.computeIfAbsent(report.region(), r -> new RegionEntry());
    synchronized (entry) {
      RegionCapacityReport previous = entry.report;
      if (previous != null && report.seenNanos() - previous.seenNanos() <= 0) {
        return;
      }
      entry.report =
          previous == null ? report : report.withDefaultRoundTrip(previous.roundTripNanos());
      entry.sentSinceReport = 0;
    }
  }

  /**
   * Records that a request is sent to a region.
   *
   * @param bytes the size of the request and the estimated size of its response, in bytes
   */
  public void recordSent(long nowNanos, RegionId region, long bytes) {
    RegionEntry entry = entries.computeIfAbsent(region, r -> new RegionEntry());
    synchronized (entry) {
      entry.sentSinceReport++;
      if (entry.budget != null) {
        entry.budget.consume(nowNanos, bytes);
      }
    }
  }

  /** Limits the bytes per second that this instance may send to a region. */
  public void limitRate(long nowNanos, RegionId region, double bytesPerSecond) {
    RegionEntry entry = entries.computeIfAbsent(region, r -> new RegionEntry());
    synchronized (entry) {
      if (entry.budget == null || entry.bytesPerSecond != bytesPerSecond) {
        entry.bytesPerSecond = bytesPerSecond;
        entry.budget = ByteBudget.of(bytesPerSecond, nowNanos);
      }
    }
  }

  /**
   * Returns a region as the routing policy sees it.
   *
   * @param share this instance's share among the instances that may send requests there
   * @param open whether requests may be sent there at present
   */
  public RegionSummary summary(long nowNanos, RegionId region, EngineShare share, boolean open) {
    RegionEntry entry = entries.get(region);
    if (entry == null) {
      return new RegionSummary(region, 0, 0, 0, false);
    }
    synchronized (entry) {
      RegionCapacityReport report = entry.report;
      if (report == null || nowNanos - report.seenNanos() >= MAX_REPORT_AGE_NANOS) {
        return new RegionSummary(region, 0, 0, 0, false);
      }
      int quota = Math.max(0, share.portionOfFree(report.freeSlots()) - entry.sentSinceReport);
      long bytes = entry.budget == null ? Long.MAX_VALUE : entry.budget.availableBytes(nowNanos);
      return new RegionSummary(
          region,
          report.freeSlots(),
          report.seenNanos(),
          report.roundTripNanos(),
          open,
          quota,
          bytes);
    }
  }

  /** Returns the report of a region unless it is outdated. */
  public Optional<RegionCapacityReport> freshReport(long nowNanos, RegionId region) {
    return Optional.ofNullable(entries.get(region))
        .map(RegionCapacityTable::reportOf)
        .filter(r -> nowNanos - r.seenNanos() < MAX_REPORT_AGE_NANOS);
  }

  private static RegionCapacityReport reportOf(RegionEntry entry) {
    synchronized (entry) {
      return entry.report;
    }
  }

  /** Returns all reports. */
  public Collection<RegionCapacityReport> reports() {
    return entries.values().stream()
        .map(RegionCapacityTable::reportOf)
        .filter(Objects::nonNull)
        .toList();
  }

  /** Discards all reports, after a pause of this process. */
  public void clear() {
    entries.clear();
  }
}
