package org.gentianslip.entry.published;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.published.PublishedItem;
import org.gentianslip.core.published.PublishedItemStore;
import org.gentianslip.core.published.PublishedState;

/**
 * Keeps the published state up to date.
 *
 * <p>One thread watches the publisher; news from other instances may come at any time and is taken
 * if it is newer. Safe for use by several threads.
 */
public final class PublishedIntake implements AutoCloseable {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** The longest wait of a watch: the time after which a silent connection is noticed. */
  private static final Duration WAIT = Duration.ofMillis(4_000);

  /** The least time between two calls: each one counts against the publisher's budget. */
  private static final long PACE_MILLIS = 250;

  /** The pause after a failed call: the first and the longest. */
  private static final long FIRST_PAUSE_MILLIS = 150;

  private static final long LONGEST_PAUSE_MILLIS = 1_000;

  /** How long an item that expired in an outage may take to come back. */
  private static final long HOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(2_300);

  /** How long after an outage a removal may be an effect of it. */
  private static final long AFTERMATH_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

  private final PublishedSource source;
  private final ItemDecoder decoder;
  private final Listener listener;
  private final PublishedItemStore book;
  private final Thread thread = new Thread(this::run, "published");
  private volatile boolean closed;
  private volatile boolean failing;
  private long returnedNanos;
  private boolean listed;

  /** Hears of news. */
  public interface Listener {

    /** The state has changed. */
    void changed(long nowNanos, PublishedState state);

    /** The publisher or a peer has confirmed that the state is up to date. */
    void confirmed(long nowNanos);
  }

  /** Creates an intake that knows nothing yet. */
  public PublishedIntake(PublishedSource source, ItemDecoder decoder, Listener listener) {
    this.source = source;
    this.decoder = decoder;
    this.listener = listener;
    this.book = new PublishedItemStore(decoder::isLeased, HOLD_NANOS);
    this.returnedNanos = System.nanoTime() - AFTERMATH_NANOS;
    thread.setDaemon(true);
  }

  /** Starts to watch. */
  public void start() {
    thread.start();
  }

  private void run() {
    long pause = FIRST_PAUSE_MILLIS;
    while (!closed) {
      try {
        final long before = System.nanoTime();
        step();
        regained();
        pause = FIRST_PAUSE_MILLIS;
        sleep(PACE_MILLIS - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - before));
      } catch (IOException e) {
        lost(e);
        sleep(pause);
        pause = Math.min(2 * pause, LONGEST_PAUSE_MILLIS);
      } catch (RuntimeException e) {
        LOGGER.atSevere().withCause(e).log("published: event=fault");
        sleep(LONGEST_PAUSE_MILLIS);
      }
    }
  }

  private void step() throws IOException {
    if (!listed) {
      PublishedSource.Listing listing = source.list();
      take(listing.items(), listing.revision());
      listed = true;
      return;
    }
    PublishedSource.Changes changes = source.watch(revision(), WAIT);
    long now = System.nanoTime();
    if (changes.historyLost()) {
      LOGGER.atWarning().log("published: event=history-lost revision=%s", revision());
      listed = false;
      return;
    }
    boolean changed;
    synchronized (this) {
      changed = book.apply(now, changes.changes(), changes.revision(), isAftermath(now));
    }
    confirm(now, changed);
  }

  private void regained() {
    if (failing) {
      failing = false;
      returnedNanos = System.nanoTime();
      LOGGER.atInfo().log("published: event=regained revision=%s", revision());
    }
  }

  private void lost(IOException cause) {
    if (!failing) {
      LOGGER.atWarning().log("published: event=lost revision=%s cause=%s", revision(), cause);
    }
    failing = true;
  }

  private boolean isAftermath(long nowNanos) {
    return failing || nowNanos - returnedNanos < AFTERMATH_NANOS;
  }

  /** Returns whether the publisher does not answer now. */
  public boolean failing() {
    return failing;
  }

  /** Returns the revision up to which all changes are known. */
  public synchronized long revision() {
    return book.revision();
  }

  /** Returns all items, to be told to another instance. */
  public synchronized PublishedSource.Listing snapshot() {
    return new PublishedSource.Listing(List.copyOf(book.items()), book.revision());
  }

  /** Takes all items from the publisher or from another instance, if they are newer. */
  public void take(List<PublishedItem> items, long atRevision) {
    long now = System.nanoTime();
    boolean changed;
    synchronized (this) {
      changed = book.replace(now, items, atRevision, isAftermath(now));
    }
    confirm(now, changed);
  }

  /** Removes what has expired; to be called regularly. */
  public void tick(long nowNanos) {
    boolean changed;
    synchronized (this) {
      changed = book.expire(nowNanos);
    }
    if (changed) {
      publish(nowNanos);
    }
  }

  private void confirm(long nowNanos, boolean changed) {
    listener.confirmed(nowNanos);
    if (changed) {
      publish(nowNanos);
    }
  }

  private synchronized void publish(long nowNanos) {
    listener.changed(nowNanos, decoder.decode(book.items(), book.revision()));
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
