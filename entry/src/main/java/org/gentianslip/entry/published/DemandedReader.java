package org.gentianslip.entry.published;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.gentianslip.entry.gateway.ReadBarrier;

/**
 * Reads the publisher's changes on demand, beside the watch of an updater.
 *
 * <p>Demands that come before a call begins share it. At most one call is under way at a time, and
 * calls begin at intervals of at least {@value #MIN_INTERVAL_MILLIS} ms, and {@value
 * #FAILED_INTERVAL_MILLIS} ms after one that has failed. Safe for use by several threads.
 */
public final class DemandedReader implements ReadBarrier, AutoCloseable {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** The minimum interval between calls, each of which counts against the publisher's budget. */
  private static final long MIN_INTERVAL_MILLIS = 50;

  /** The minimum interval after a call that has failed. */
  private static final long FAILED_INTERVAL_MILLIS = 250;

  /** The time in which a call fails whose connection was reset before. */
  private static final long MAX_RESET_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private final PublishedSource source;
  private final PublishedStateUpdater updater;
  private final AtomicReference<CompletableFuture<Boolean>> next = new AtomicReference<>();
  private final ScheduledExecutorService thread =
      Executors.newSingleThreadScheduledExecutor(
          r -> {
            var t = new Thread(r, "published-demand");
            t.setDaemon(true);
            return t;
          });
  private volatile boolean failed;
  private volatile long begunNanos =
      System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(MIN_INTERVAL_MILLIS);

  /**
   * Creates a reader.
   *
   * @param source the source, which nothing else uses
   * @param updater applies the changes
   */
  public DemandedReader(PublishedSource source, PublishedStateUpdater updater) {
    this.source = source;
    this.updater = updater;
  }

  @Override
  public CompletableFuture<Boolean> pass() {
    var created = new CompletableFuture<Boolean>();
    CompletableFuture<Boolean> pending = next.compareAndExchange(null, created);
    if (pending != null) {
      return pending.copy();
    }
    long elapsedNanos = System.nanoTime() - begunNanos;
    long intervalMillis = failed ? FAILED_INTERVAL_MILLIS : MIN_INTERVAL_MILLIS;
    long delayNanos = TimeUnit.MILLISECONDS.toNanos(intervalMillis) - elapsedNanos;
    thread.schedule(this::read, Math.max(0, delayNanos), TimeUnit.NANOSECONDS);
    return created.copy();
  }

  private void read() {
    begunNanos = System.nanoTime();
    // Taken before the call begins, so that later demands wait for another one.
    CompletableFuture<Boolean> current = next.getAndSet(null);
    boolean applied = false;
    try {
      applied = applyHistory();
    } catch (IOException | RuntimeException e) {
      LOGGER.atInfo().log("published: event=no-changes cause=%s", e);
    }
    failed = !applied;
    current.complete(applied);
  }

  /** Reads once more if the call fails early, as on a connection that was reset while idle. */
  private boolean applyHistory() throws IOException {
    try {
      return updater.applyHistory(source);
    } catch (IOException e) {
      if (System.nanoTime() - begunNanos > MAX_RESET_NANOS) {
        throw e;
      }
      return updater.applyHistory(source);
    }
  }

  @Override
  public void close() {
    thread.shutdownNow();
  }
}
