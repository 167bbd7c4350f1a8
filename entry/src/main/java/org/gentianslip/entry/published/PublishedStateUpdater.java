package org.gentianslip.entry.published;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.published.Backend;
import org.gentianslip.core.published.ItemChange;
import org.gentianslip.core.published.ItemSnapshot;
import org.gentianslip.core.published.PublishedItem;
import org.gentianslip.core.published.PublishedItemStore;
import org.gentianslip.core.published.PublishedState;
import org.gentianslip.core.published.Revision;
import org.gentianslip.core.stream.VersionHistory;
import org.gentianslip.core.time.ClockReading;
import org.gentianslip.entry.clock.Clocks;

/**
 * Keeps the published state up to date.
 *
 * <p>A thread watches the publisher. Copies received from other instances may be applied at any
 * time and take effect if they are newer. Safe for use by several threads.
 */
public final class PublishedStateUpdater implements AutoCloseable {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** How long a watch call waits for changes; a silent connection is detected soon after. */
  private static final Duration WATCH_TIMEOUT = Duration.ofMillis(4_000);

  /** How long a watch call waits while other instances rely on copies of this one. */
  private static final Duration RELAY_WATCH_TIMEOUT = Duration.ofMillis(2_000);

  /** The minimum interval between calls, each of which counts against the publisher's budget. */
  private static final long MIN_CALL_INTERVAL_MILLIS = 250;

  /** The delay after the first of consecutive failed calls; it doubles with each further one. */
  private static final long MIN_RETRY_MILLIS = 150;

  /** The maximum delay after a failed call. */
  private static final long MAX_RETRY_MILLIS = 1_000;

  /** How long an item that expired during an outage is kept, so that its writer can renew it. */
  private static final long REMOVAL_HOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(2_300);

  /**
   * How long an item that was removed before the publisher was restored is not used unless it is
   * written again: longer than the lease of a writer that is gone.
   */
  private static final long CONFIRMATION_NANOS = TimeUnit.MILLISECONDS.toNanos(5_000);

  /** How long after an outage a removal may be a consequence of the outage. */
  private static final long RECOVERY_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

  private final PublishedSource source;
  private final ItemDecoder decoder;
  private final Listener listener;
  private final WatchLimit watchLimit;
  private final PublishedItemStore items;
  private final VersionHistory versions;
  private final PastReader past;
  private final Thread thread = new Thread(this::run, "published");
  private volatile boolean closed;
  private volatile boolean failing;
  private volatile boolean relay = true;
  private volatile long recoveredNanos;
  private boolean changePending;
  private boolean listingRead;

  /** The backend servers that had left their address to a later one in the last state. */
  private Set<EngineId> formerHolders = Set.of();

  /** The revision up to which the watching thread has seen all changes since its last listing. */
  private Revision watched = Revision.NONE;

  /** Receives updates of the published state. */
  public interface Listener {

    /** Called when the state has changed. */
    void onChanged(long nowNanos, PublishedState state);

    /** Called when the publisher or a peer has confirmed that the state is up to date. */
    void onConfirmed(long nowNanos);

    /**
     * Called when all changes are applied that were published before a moment.
     *
     * @param begun the clocks when the call to the publisher was begun
     */
    default void onNewest(ClockReading begun) {}
  }

  /** Limits how long a call waits for changes. */
  public interface WatchLimit {

    /**
     * Returns the maximum time of a call, in milliseconds.
     *
     * @param relay whether other instances rely on this one
     * @param maxMillis the time without a limit
     */
    long millis(boolean relay, long maxMillis);
  }

  /** Creates an updater without any items, whose calls have no further limit. */
  public PublishedStateUpdater(PublishedSource source, ItemDecoder decoder, Listener listener) {
    this(source, decoder, listener, (isRelay, maxMillis) -> maxMillis, new VersionHistory(), 0);
  }

  /**
   * Creates an updater without any items.
   *
   * @param versions is told where changes may have passed unseen, and of versions that are not in
   *     the states that the listener receives
   * @param heartbeatMillis the interval at which a backend server writes, in milliseconds; 0 if it
   *     is not known
   */
  public PublishedStateUpdater(
      PublishedSource source,
      ItemDecoder decoder,
      Listener listener,
      WatchLimit watchLimit,
      VersionHistory versions,
      long heartbeatMillis) {
    this.watchLimit = watchLimit;
    this.source = source;
    this.decoder = decoder;
    this.listener = listener;
    this.versions = versions;
    this.past = new PastReader(source, decoder, heartbeatMillis);
    this.items = new PublishedItemStore(decoder, REMOVAL_HOLD_NANOS, CONFIRMATION_NANOS);
    this.recoveredNanos = System.nanoTime() - RECOVERY_NANOS;
    thread.setDaemon(true);
  }

  /** Starts watching the publisher. */
  public void start() {
    thread.start();
  }

  /**
   * Sets whether other instances rely on copies of this one, as is assumed at first. Silent
   * connections to the publisher are then detected earlier, at the cost of more calls.
   */
  public void setRelay(boolean newRelay) {
    relay = newRelay;
  }

  private void run() {
    long retryMillis = MIN_RETRY_MILLIS;
    while (!closed) {
      try {
        final long before = System.nanoTime();
        poll();
        markRecovered();
        retryMillis = MIN_RETRY_MILLIS;
        sleep(MIN_CALL_INTERVAL_MILLIS - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - before));
      } catch (IOException e) {
        markFailing(e);
        sleep(retryMillis);
        retryMillis = Math.min(2 * retryMillis, MAX_RETRY_MILLIS);
      } catch (RuntimeException e) {
        LOGGER.atSevere().withCause(e).log("published: event=fault");
        sleep(MAX_RETRY_MILLIS);
      }
    }
  }

  private void poll() throws IOException {
    ClockReading begun = Clocks.read();
    if (!listingRead) {
      PublishedSource.Listing listing = source.list();
      long listedNanos = replace(begun, listing);
      listingRead = true;
      past.extend(versions, listing, listedNanos);
      return;
    }
    Duration limit = relay ? RELAY_WATCH_TIMEOUT : WATCH_TIMEOUT;
    PublishedSource.Changes changes =
        source.watch(watched, Duration.ofMillis(watchLimit.millis(relay, limit.toMillis())));
    long now = System.nanoTime();
    if (changes.historyLost() && revision().isAfter(watched)) {
      // A copy is newer than what was watched, so that changes can be watched from there.
      watched = revision();
      versions.startAnew(now);
      LOGGER.atInfo().log("published: event=skipped revision=%s", watched);
      return;
    }
    if (changes.historyLost()) {
      LOGGER.atWarning().log("published: event=history-lost revision=%s", revision());
      listingRead = false;
      return;
    }
    synchronized (this) {
      apply(now, changes);
      watched = changes.revision();
      if (!items.revision().isAfter(watched)) {
        versions.closeGap();
      }
      listener.onNewest(begun);
    }
  }

  private void apply(long nowNanos, PublishedSource.Changes changes) {
    boolean changed =
        items.apply(nowNanos, changes.changes(), changes.revision(), isRecovering(nowNanos));
    recordUnheld(nowNanos, changes.changes());
    notifyConfirmed(nowNanos, changed);
  }

  /**
   * Applies all changes that were published before this call.
   *
   * @param other a source that this updater does not use
   * @return whether they are applied; false if nothing was listed yet, or the history is lost
   */
  boolean applyHistory(PublishedSource other) throws IOException {
    Revision known = revision();
    if (known.equals(Revision.NONE)) {
      return false;
    }
    ClockReading begun = Clocks.read();
    PublishedSource.Changes changes = other.history(known);
    if (changes.historyLost()) {
      return false;
    }
    synchronized (this) {
      apply(System.nanoTime(), changes);
      listener.onNewest(begun);
    }
    return true;
  }

  /** Records the versions that are not in the state, as of a server that has left since. */
  private void recordUnheld(long nowNanos, List<ItemChange> changes) {
    for (ItemChange change : changes) {
      if (change instanceof ItemChange.Written written && !items.holds(written.item())) {
        recordUnheld(nowNanos, written.item());
      }
    }
  }

  private void recordUnheld(long nowNanos, PublishedItem item) {
    if (decoder.isLeased(item.key())) {
      decoder.decodeBackend(item).ifPresent(b -> versions.recordSeen(nowNanos, List.of(b)));
    }
  }

  private void markRecovered() {
    if (failing) {
      failing = false;
      recoveredNanos = System.nanoTime();
      LOGGER.atInfo().log("published: event=regained revision=%s", revision());
    }
  }

  private void markFailing(IOException cause) {
    if (!failing) {
      LOGGER.atWarning().log("published: event=lost revision=%s cause=%s", revision(), cause);
    }
    failing = true;
  }

  private boolean isRecovering(long nowNanos) {
    return failing || nowNanos - recoveredNanos < RECOVERY_NANOS;
  }

  /** Returns whether the last call to the publisher failed. */
  public boolean isFailing() {
    return failing;
  }

  /** Returns the revision up to which all changes are known. */
  public synchronized Revision revision() {
    return items.revision();
  }

  /** Returns all items and delayed changes, for a copy to another instance. */
  public synchronized ItemSnapshot snapshot(long nowNanos) {
    return items.snapshot(nowNanos);
  }

  /**
   * Replaces all items by those of the publisher, unless they are older.
   *
   * @return when the versions were known anew
   */
  private long replace(ClockReading begun, PublishedSource.Listing listing) {
    long now = System.nanoTime();
    boolean changed;
    Revision before;
    synchronized (this) {
      before = items.revision();
      noteEra(now, listing.revision());
      changed = items.replace(now, listing.items(), listing.revision(), isRecovering(now));
      versions.startAnew(now);
      for (PublishedItem item : listing.items()) {
        if (!items.holds(item)) {
          recordUnheld(now, item);
        }
      }
      watched = listing.revision();
      notifyConfirmed(now, changed);
      listener.onNewest(begun);
    }
    LOGGER.atInfo().log(
        "published: event=listing revision=%s before=%s after=%s changed=%s items=%s",
        listing.revision(), before, revision(), changed, listing.items().size());
    return now;
  }

  /**
   * Replaces all items by those of another instance, unless they are older.
   *
   * @param source the name of the other instance, for the log
   */
  public void replace(String source, ItemSnapshot copy) {
    long now = System.nanoTime();
    boolean changed;
    Revision before;
    synchronized (this) {
      before = items.revision();
      noteEra(now, copy.revision());
      changed = items.replace(now, copy, isRecovering(now));
      if (items.revision().isAfter(before)) {
        versions.markGap(now);
      }
      notifyConfirmed(now, changed);
    }
    LOGGER.atInfo().log(
        "published: event=copied from=%s revision=%s before=%s after=%s changed=%s items=%s "
            + "removals=%s unconfirmed=%s",
        source,
        copy.revision(),
        before,
        revision(),
        changed,
        copy.items().size(),
        copy.removals().size(),
        copy.unconfirmed().size());
  }

  /** A new era is an outage, in which leases may have expired. */
  private void noteEra(long nowNanos, Revision revision) {
    if (revision.era() > items.revision().era()) {
      recoveredNanos = nowNanos;
    }
  }

  /** Applies delayed changes; must be called periodically. */
  public void expireItems(long nowNanos) {
    synchronized (this) {
      notifyChanged(nowNanos, items.expire(nowNanos));
    }
  }

  private void notifyConfirmed(long nowNanos, boolean changed) {
    listener.onConfirmed(nowNanos);
    notifyChanged(nowNanos, changed);
  }

  /**
   * Passes a change on, or one that could not be passed on before. Called with the lock held, so
   * that no other thread takes the items for applied before the listener has them.
   */
  private void notifyChanged(long nowNanos, boolean changed) {
    changePending |= changed;
    if (changePending) {
      listener.onChanged(nowNanos, stateInUse(nowNanos));
      changePending = false;
    }
  }

  /** Returns the state without the backend servers that have left their address to later ones. */
  private PublishedState stateInUse(long nowNanos) {
    PublishedState state = decoder.decode(items.items(), items.revision());
    Map<EngineId, Backend> holders = state.formerHolders();
    List<Backend> former = holders.keySet().stream().map(state.backends()::get).toList();
    versions.recordSeen(nowNanos, former);
    former.stream()
        .filter(b -> !formerHolders.contains(b.id()))
        .forEach(b -> logAddressTaken(b, holders.get(b.id())));
    formerHolders = Set.copyOf(holders.keySet());
    return state.without(formerHolders);
  }

  private static void logAddressTaken(Backend former, Backend holder) {
    LOGGER.atInfo().log(
        "published: event=address-taken address=%s backend=%s service=%s started=%s by=%s"
            + " by-service=%s by-started=%s",
        former.address(),
        former.id(),
        former.service(),
        former.startedMillis(),
        holder.id(),
        holder.service(),
        holder.startedMillis());
  }

  private static void sleep(long millis) {
    if (millis <= 0) {
      return;
    }
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
  }
}
