package org.gentianslip.core.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.gentianslip.core.id.EngineId;

/**
 * The backend servers that are known to be leaving before the published list shows it.
 *
 * <p>A mark ends after its lifetime, or when this instance itself sees the server live long enough
 * after the mark. A mark that is received back from a peer is not renewed. Immutable and
 * thread-safe; each change returns a new value.
 */
public final class LeavingMarks {

  /** The lifetime of a mark, in nanoseconds. */
  public static final long LIFETIME_NANOS = 300_000_000_000L;

  /** How much later than a mark the server must be seen live to end it, in nanoseconds. */
  public static final long REPORT_LAG_NANOS = 10_000_000_000L;

  /**
   * How much later than recorded a sighting may seem when a peer sends it back, in nanoseconds; a
   * later one is a new sighting.
   */
  private static final long SAME_SIGHTING_NANOS = 5_000_000_000L;

  private static final LeavingMarks NONE = new LeavingMarks(Map.of());

  private final Map<EngineId, LeavingMark> marks;

  private LeavingMarks(Map<EngineId, LeavingMark> marks) {
    this.marks = Map.copyOf(marks);
  }

  /** Returns the empty value. */
  public static LeavingMarks none() {
    return NONE;
  }

  /** Returns all marks in no particular order, including marks that may have ended. */
  public Collection<LeavingMark> marks() {
    return marks.values();
  }

  /**
   * Returns whether a server is leaving, so that it must not be sent new work.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @param engine the server
   */
  public boolean isLeaving(long nowNanos, EngineId engine) {
    LeavingMark mark = marks.get(engine);
    return mark != null && nowNanos - mark.seenNanos() < LIFETIME_NANOS;
  }

  /**
   * Returns a value with a sighting by this instance or by a peer.
   *
   * @param engine the server
   * @param seenNanos when it was seen to be leaving; for a sighting by a peer, the current time
   *     minus the reported age
   * @return the new value, or empty if the mark is known already, so that it need not be sent to
   *     peers
   */
  public Optional<LeavingMarks> with(EngineId engine, long seenNanos) {
    LeavingMark known = marks.get(engine);
    if (known != null && seenNanos - known.seenNanos() <= SAME_SIGHTING_NANOS) {
      return Optional.empty();
    }
    Map<EngineId, LeavingMark> updated = new HashMap<>(marks);
    updated.put(engine, new LeavingMark(engine, seenNanos));
    return Optional.of(new LeavingMarks(updated));
  }

  /**
   * Returns the value after this instance itself saw a server live, without the marks that have
   * ended.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @param engine the server
   */
  public LeavingMarks withLive(long nowNanos, EngineId engine) {
    LeavingMark mark = marks.get(engine);
    if (mark == null || nowNanos - mark.seenNanos() < REPORT_LAG_NANOS) {
      return this;
    }
    Map<EngineId, LeavingMark> updated = new HashMap<>(marks);
    updated.remove(engine);
    updated.keySet().removeIf(e -> !isLeaving(nowNanos, e));
    return new LeavingMarks(updated);
  }
}
