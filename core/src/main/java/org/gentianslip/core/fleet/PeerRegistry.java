package org.gentianslip.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;

/**
 * The other instances, as they report themselves and as others report them.
 *
 * <p>A newer record replaces an older one; at the same beat, a statement that the instance is
 * silent replaces one that it is not. Only changes other than of the beat are numbered, so that a
 * fleet without events exchanges nothing about its members. A statement that an instance is silent
 * is rejected, and the opposite is numbered again, if a later beat has been received. Thread-safe:
 * writes hold the object's lock, reads are lock-free.
 */
public final class PeerRegistry {

  /** How long a silent instance is remembered, so that it counts in shares. */
  private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);

  private final InstanceId self;
  private final RegionId region;
  private final ChangeCounter changes;
  private final Map<InstanceId, Entry> entries = new ConcurrentHashMap<>();
  private volatile long ownIncarnation;

  /**
   * What is known of an instance.
   *
   * @param peer its last record
   * @param silent whether it counts as silent
   * @param silentNanos since when, in nanoseconds of the monotonic clock
   * @param heardNanos when it last reported to this instance directly, or {@code NEVER}
   * @param change the number of the last change
   * @param source the instance from which that change came
   */
  private record Entry(
      PeerRecord peer,
      boolean silent,
      long silentNanos,
      long heardNanos,
      long change,
      InstanceId source) {}

  private static final long NEVER = Long.MIN_VALUE;

  /**
   * Creates an empty registry.
   *
   * @param self the instance that owns it
   * @param region the region of that instance
   * @param incarnation the incarnation of that instance
   * @param changes numbers the changes
   */
  public PeerRegistry(InstanceId self, RegionId region, long incarnation, ChangeCounter changes) {
    this.self = self;
    this.region = region;
    this.ownIncarnation = incarnation;
    this.changes = changes;
  }

  /**
   * Returns the incarnation of this instance, which is greater than any that others have reported.
   */
  public long ownIncarnation() {
    return ownIncarnation;
  }

  /** Records what an instance reported of itself to this instance. */
  public synchronized void recordDirect(long nowNanos, PeerRecord peer) {
    if (peer.id().equals(self)) {
      return;
    }
    Entry known = entries.get(peer.id());
    if (known != null && known.peer().incarnation() > peer.incarnation()) {
      // The clock of the instance went back; the repeated statement makes it take a higher number.
      put(known.peer(), known.silent(), known.silentNanos(), known.heardNanos(), self);
      return;
    }
    if (known != null && known.peer().isNewerThan(peer)) {
      return;
    }
    boolean changed = known == null || known.silent() || peer.differsFrom(known.peer());
    long change = changed ? changes.next() : known.change();
    InstanceId source = changed ? peer.id() : known.source();
    entries.put(peer.id(), new Entry(peer, false, 0, nowNanos, change, source));
  }

  /**
   * Records what another instance stated.
   *
   * @param source the instance that made the statement
   */
  public synchronized void recordRelayed(
      long nowNanos, InstanceId source, PeerStatement statement) {
    PeerRecord stated = statement.peer();
    if (stated.id().equals(self)) {
      if (stated.incarnation() > ownIncarnation) {
        ownIncarnation = stated.incarnation() + 1;
      }
      return;
    }
    Entry known = entries.get(stated.id());
    PeerRecord peer = known == null ? stated : stated.withWireOf(known.peer());
    long silentNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(statement.silentMillis());
    if (known == null) {
      boolean expired = statement.silent() && nowNanos - silentNanos > RETENTION_NANOS;
      if (!expired) {
        put(peer, statement.silent(), silentNanos, NEVER, source);
      }
      return;
    }
    boolean contradicted = statement.silent() && !known.silent() && known.peer().isNewerThan(peer);
    if (contradicted) {
      put(known.peer(), false, 0, known.heardNanos(), self);
      return;
    }
    boolean sameBeat = !peer.isNewerThan(known.peer()) && !known.peer().isNewerThan(peer);
    boolean becomesSilent = sameBeat && statement.silent() && !known.silent();
    if (becomesSilent || peer.isNewerThan(known.peer())) {
      boolean changed = statement.silent() != known.silent() || peer.differsFrom(known.peer());
      if (changed) {
        put(peer, statement.silent(), silentNanos, known.heardNanos(), source);
      } else {
        entries.put(
            peer.id(),
            new Entry(
                peer,
                known.silent(),
                known.silentNanos(),
                known.heardNanos(),
                known.change(),
                known.source()));
      }
    }
  }

  private void put(
      PeerRecord peer, boolean silent, long silentNanos, long heardNanos, InstanceId source) {
    entries.put(
        peer.id(), new Entry(peer, silent, silentNanos, heardNanos, changes.next(), source));
  }

  /** States that an instance is silent since now. */
  public synchronized void declareSilent(long nowNanos, InstanceId id) {
    Entry known = entries.get(id);
    if (known != null && !known.silent()) {
      put(known.peer(), true, nowNanos, known.heardNanos(), self);
    }
  }

  /**
   * Returns how long ago an instance last reported directly, in nanoseconds, or {@code
   * Long.MAX_VALUE} if it never did.
   */
  long sinceHeardNanos(long nowNanos, InstanceId id) {
    Entry known = entries.get(id);
    return known == null || known.heardNanos() == NEVER
        ? Long.MAX_VALUE
        : nowNanos - known.heardNanos();
  }

  /**
   * Returns the statements numbered after {@code after} that did not come from {@code receiver}.
   */
  public List<PeerStatement> changesAfter(long nowNanos, long after, InstanceId receiver) {
    List<PeerStatement> statements = new ArrayList<>();
    for (Entry e : entries.values()) {
      if (e.change() > after && !e.source().equals(receiver)) {
        long silentMillis =
            e.silent() ? TimeUnit.NANOSECONDS.toMillis(nowNanos - e.silentNanos()) : 0;
        statements.add(new PeerStatement(e.peer(), e.silent(), silentMillis));
      }
    }
    return statements;
  }

  /**
   * Returns the instances that are not silent and whose data centre is accepted, including those
   * that are leaving.
   */
  public List<PeerRecord> live(Predicate<DataCentreId> dataCentres) {
    List<PeerRecord> live = new ArrayList<>();
    for (Entry e : entries.values()) {
      if (!e.silent() && dataCentres.test(e.peer().dataCentre())) {
        live.add(e.peer());
      }
    }
    return live;
  }

  /** Returns all remembered instances, after forgetting those that were silent for too long. */
  public synchronized Collection<PeerRecord> known(long nowNanos) {
    entries.values().removeIf(e -> e.silent() && nowNanos - e.silentNanos() > RETENTION_NANOS);
    return entries.values().stream().map(Entry::peer).toList();
  }

  /** Returns the remembered instances of the local region, including this one. */
  public List<InstanceId> knownInRegion() {
    List<InstanceId> ids = new ArrayList<>();
    ids.add(self);
    for (Entry e : entries.values()) {
      if (e.peer().region().equals(region)) {
        ids.add(e.peer().id());
      }
    }
    return ids;
  }

  /** Returns the number of remembered instances of all regions, including this one. */
  public int count() {
    return entries.size() + 1;
  }
}
