package org.gentianslip.core.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.gentianslip.core.id.EngineId;

/**
 * Holds the backend servers that are known to leave before the published list says so.
 *
 * <p>A mark ends by its age or when the holder itself sees the server live well after it. A mark
 * that comes back from a peer does not grow younger. Immutable; each change gives a new value. Safe
 * for use by several threads.
 */
public final class LeavingMarks {

  /** How long a mark holds, in nanoseconds. */
  public static final long LIFETIME_NANOS = 300_000_000_000L;

  /** A report of a live server must be younger than its mark by this much, in nanoseconds. */
  public static final long REPORT_LAG_NANOS = 10_000_000_000L;

  /** A sighting counts as a new one if it is later than the known one by this, in nanoseconds. */
  private static final long SAME_SIGHTING_NANOS = 5_000_000_000L;

  private static final LeavingMarks NONE = new LeavingMarks(Map.of());

  private final Map<EngineId, LeavingMark> marks;

  private LeavingMarks(Map<EngineId, LeavingMark> marks) {
    this.marks = Map.copyOf(marks);
  }

  /** Returns the value without marks. */
  public static LeavingMarks none() {
    return NONE;
  }

  /** Returns all marks, in no order; some may have ended. */
  public Collection<LeavingMark> marks() {
    return marks.values();
  }

  /**
   * Returns whether a server gets no new work.
   *
   * @param nowNanos the present time, in nanoseconds of the monotonic clock
   * @param engine the server
   */
  public boolean isLeaving(long nowNanos, EngineId engine) {
    LeavingMark mark = marks.get(engine);
    return mark != null && nowNanos - mark.seenNanos() < LIFETIME_NANOS;
  }

  /**
   * Takes a sighting of this instance or of a peer.
   *
   * @param engine the server
   * @param seenNanos when it was seen to leave: the present time less the age that a peer told
   * @return the new value, or empty if the mark is known, so that it needs not be passed on
   */
  public Optional<LeavingMarks> with(EngineId engine, long seenNanos) {
    LeavingMark known = marks.get(engine);
    if (known != null && seenNanos - known.seenNanos() <= SAME_SIGHTING_NANOS) {
      return Optional.empty();
    }
    Map<EngineId, LeavingMark> next = new HashMap<>(marks);
    next.put(engine, new LeavingMark(engine, seenNanos));
    return Optional.of(new LeavingMarks(next));
  }

  /**
   * Takes that this instance itself saw a server live, and drops the marks that have ended.
   *
   * @param nowNanos the present time, in nanoseconds of the monotonic clock
   * @param engine the server
   */
  public LeavingMarks withLive(long nowNanos, EngineId engine) {
    LeavingMark mark = marks.get(engine);
    if (mark == null || nowNanos - mark.seenNanos() < REPORT_LAG_NANOS) {
      return this;
    }
    Map<EngineId, LeavingMark> next = new HashMap<>(marks);
    next.remove(engine);
    next.keySet().removeIf(e -> !isLeaving(nowNanos, e));
    return new LeavingMarks(next);
  }
}
