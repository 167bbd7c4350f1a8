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
 * The instances that this one knows from hellos, without any published list.
 *
 * <p>An instance counts as live while newer records of it arrive, directly or through other
 * instances. A record of a new incarnation is always accepted if it comes from the instance itself.
 * Thread-safe.
 */
public final class PeerRegistry {

  /** How long an instance of the local region counts as live without a newer record. */
  public static final long LOCAL_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

  /**
   * How long an instance of another region counts as live without a newer record; its records pass
   * through more instances.
   */
  public static final long REMOTE_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(5_000);

  /**
   * How long a silent instance is remembered, so that it counts in shares and is still contacted.
   */
  private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);

  private final InstanceId self;
  private final RegionId region;
  private final Map<InstanceId, Entry> entries = new ConcurrentHashMap<>();

  /**
   * A record and the time of its receipt.
   *
   * @param peer the record
   * @param receivedNanos when the last newer record was received, in nanoseconds of the monotonic
   *     clock
   */
  private record Entry(PeerRecord peer, long receivedNanos) {}

  /** Creates an empty registry for an instance and its region. */
  public PeerRegistry(InstanceId self, RegionId region) {
    this.self = self;
    this.region = region;
  }

  /** Records what an instance reported of itself. */
  public void recordDirect(long nowNanos, PeerRecord peer) {
    if (!peer.id().equals(self)) {
      entries.merge(
          peer.id(),
          new Entry(peer, nowNanos),
          (known, received) ->
              known.peer().startedMillis() == peer.startedMillis()
                      && known.peer().beat() > peer.beat()
                  ? known
                  : received);
    }
  }

  /** Records what an instance reported of a third one. */
  public void recordRelayed(long nowNanos, PeerRecord peer) {
    if (!peer.id().equals(self)) {
      entries.merge(
          peer.id(),
          new Entry(peer, nowNanos),
          (known, received) -> peer.isNewerThan(known.peer()) ? received : known);
    }
  }

  private boolean isLive(long nowNanos, Entry entry) {
    boolean local = entry.peer().region().equals(region);
    return nowNanos - entry.receivedNanos() < (local ? LOCAL_SILENCE_NANOS : REMOTE_SILENCE_NANOS);
  }

  /** Returns the live instances, including those that are leaving. */
  public List<PeerRecord> live(long nowNanos) {
    return entries.values().stream()
        .filter(e -> isLive(nowNanos, e))
        .map(Entry::peer)
        .collect(Collectors.toList());
  }

  /** Returns the live instances that accept requests. */
  public List<PeerRecord> serving(long nowNanos) {
    return live(nowNanos).stream()
        .filter(p -> p.ready() && !p.leaving())
        .collect(Collectors.toList());
  }

  /** Returns all remembered instances, after forgetting those that were silent for too long. */
  public Collection<PeerRecord> known(long nowNanos) {
    entries.values().removeIf(e -> nowNanos - e.receivedNanos() > RETENTION_NANOS);
    return entries.values().stream().map(Entry::peer).collect(Collectors.toList());
  }

  /** Returns the number of remembered instances of the local region, including this one. */
  public int countInRegion() {
    return 1
        + (int) entries.values().stream().filter(e -> e.peer().region().equals(region)).count();
  }

  /** Returns the number of remembered instances of all regions, including this one. */
  public int count() {
    return entries.size() + 1;
  }

  /**
   * Marks all other instances as silent until newer records of them arrive; called after a pause of
   * this process.
   */
  public void expireAll(long nowNanos) {
    entries.replaceAll((id, e) -> new Entry(e.peer(), nowNanos - REMOTE_SILENCE_NANOS));
  }
}
