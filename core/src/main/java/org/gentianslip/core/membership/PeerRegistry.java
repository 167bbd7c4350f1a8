package org.gentianslip.core.membership;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;

/**
 * Holds the instances that this one has heard of, without any published list.
 *
 * <p>An instance counts as live while its records grow newer; where a record came from does not
 * matter, except that an instance's own word of a new life is always taken. Safe for use by several
 * threads.
 */
public final class PeerRegistry {

  /** How long an instance of the own region counts as live without a newer record. */
  public static final long NEAR_SILENT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

  /** How long one of another region does; its records take more steps. */
  public static final long FAR_SILENT_NANOS = TimeUnit.MILLISECONDS.toNanos(5_000);

  /** How long a silent instance is remembered, to count it in shares and to look for it. */
  private static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(60);

  private final InstanceId self;
  private final RegionId region;
  private final Map<InstanceId, Entry> entries = new ConcurrentHashMap<>();

  /**
   * Joins a record and the time of the last news.
   *
   * @param peer the record
   * @param heardNanos when a newer record came, in nanoseconds of the monotonic clock
   */
  private record Entry(PeerRecord peer, long heardNanos) {}

  /** Creates an empty book for an instance and its region. */
  public PeerRegistry(InstanceId self, RegionId region) {
    this.self = self;
    this.region = region;
  }

  /** Takes what an instance said itself. */
  public void recordDirect(long nowNanos, PeerRecord peer) {
    if (!peer.id().equals(self)) {
      entries.merge(
          peer.id(),
          new Entry(peer, nowNanos),
          (old, now) ->
              old.peer().startedMillis() == peer.startedMillis() && old.peer().beat() > peer.beat()
                  ? old
                  : now);
    }
  }

  /** Takes what another instance has heard. */
  public void recordRelayed(long nowNanos, PeerRecord peer) {
    if (!peer.id().equals(self)) {
      entries.merge(
          peer.id(),
          new Entry(peer, nowNanos),
          (old, now) -> peer.isNewerThan(old.peer()) ? now : old);
    }
  }

  private boolean isLive(long nowNanos, Entry entry) {
    boolean near = entry.peer().region().equals(region);
    return nowNanos - entry.heardNanos() < (near ? NEAR_SILENT_NANOS : FAR_SILENT_NANOS);
  }

  /** Returns the live instances, those that are leaving among them. */
  public List<PeerRecord> live(long nowNanos) {
    return entries.values().stream()
        .filter(e -> isLive(nowNanos, e))
        .map(Entry::peer)
        .collect(Collectors.toList());
  }

  /** Returns the live instances that take requests. */
  public List<PeerRecord> serving(long nowNanos) {
    return live(nowNanos).stream()
        .filter(p -> p.ready() && !p.leaving())
        .collect(Collectors.toList());
  }

  /** Returns all instances that are remembered, and forgets those that were silent for long. */
  public Collection<PeerRecord> known(long nowNanos) {
    entries.values().removeIf(e -> nowNanos - e.heardNanos() > FORGET_NANOS);
    return entries.values().stream().map(Entry::peer).collect(Collectors.toList());
  }

  /** Returns the number of instances remembered of the own region, with this one. */
  public int countInRegion() {
    return 1
        + (int) entries.values().stream().filter(e -> e.peer().region().equals(region)).count();
  }

  /** Returns the number of instances remembered, with this one. */
  public int count() {
    return entries.size() + 1;
  }

  /** Makes all others silent until they are heard again, after a pause of this process. */
  public void expireAll(long nowNanos) {
    entries.replaceAll((id, e) -> new Entry(e.peer(), nowNanos - FAR_SILENT_NANOS));
  }
}
