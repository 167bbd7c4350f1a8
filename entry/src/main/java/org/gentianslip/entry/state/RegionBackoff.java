package org.gentianslip.entry.state;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.gentianslip.core.id.RegionId;

/**
 * Remembers which regions refused work, and sends them none for a growing time.
 *
 * <p>Safe for use by several threads.
 */
public final class RegionBackoff {

  private static final long FIRST_NANOS = 200_000_000L;
  private static final long MAX_NANOS = 5_000_000_000L;

  private record Closed(long untilNanos, long lengthNanos) {}

  private final Map<RegionId, Closed> closed = new ConcurrentHashMap<>();

  /**
   * Closes a region for a while after it refused.
   *
   * @param jitter a random share from 0 to 1 that keeps instances from returning together
   */
  public void refused(long nowNanos, RegionId region, double jitter) {
    closed.compute(
        region,
        (r, old) -> {
          long length = old == null ? FIRST_NANOS : Math.min(MAX_NANOS, old.lengthNanos * 2);
          return new Closed(nowNanos + (long) (length * (0.5 + jitter)), length);
        });
  }

  /** Opens a region after it took work. */
  public void accepted(RegionId region) {
    closed.remove(region);
  }

  /** Returns whether a region gets no work for now. */
  public boolean closed(long nowNanos, RegionId region) {
    Closed c = closed.get(region);
    return c != null && nowNanos - c.untilNanos < 0;
  }
}
