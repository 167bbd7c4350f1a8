package org.gentianslip.entry.configservice;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Watches one key of the config service on its own thread.
 *
 * <p>Every value read is passed to the listener, even if its revision is older than the previous
 * one. A wait that ends without a change is followed by a plain read: a restored service counts
 * revisions from an earlier state, so waiting for a later revision would miss the values published
 * next. While the service is unavailable, reads are retried with increasing delays. Safe for use by
 * several threads.
 */
public final class KeyWatcher implements AutoCloseable {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(4);
  private static final long MIN_RETRY_MILLIS = 100;
  private static final long MAX_RETRY_MILLIS = 2_000;

  private final ConfigServiceReader reader;
  private final String key;
  private final ValueListener listener;
  private final Thread thread;
  private volatile boolean closed;

  /** Receives the values of a key, on the thread of the watcher. */
  public interface ValueListener {

    /**
     * Receives a value.
     *
     * @return whether the value was processed; if not, it is read again after a delay
     */
    boolean accept(long revision, byte[] value);

    /**
     * Called when the service has returned the value that was processed last.
     *
     * @param sentNanos the time at which the call was sent, in nanoseconds of the monotonic clock
     */
    default void confirmed(long sentNanos) {}
  }

  /** Creates a watcher; {@link #start()} starts it. */
  public KeyWatcher(ConfigServiceReader reader, String key, ValueListener listener) {
    this.reader = reader;
    this.key = key;
    this.listener = listener;
    this.thread = new Thread(this::run, "watch-" + key);
    thread.setDaemon(true);
  }

  /** Starts watching. */
  public void start() {
    thread.start();
  }

  private void run() {
    long lastRevision = 0;
    long retryMillis = MIN_RETRY_MILLIS;
    while (!closed) {
      long sentNanos = System.nanoTime();
      ConfigReadResult result = reader.watch(key, lastRevision, WATCH_TIMEOUT);
      if (result instanceof ConfigReadResult.Found found
          && listener.accept(found.revision(), found.value())) {
        listener.confirmed(sentNanos);
        lastRevision = found.revision();
        retryMillis = MIN_RETRY_MILLIS;
        continue;
      }
      if (result instanceof ConfigReadResult.Unchanged && lastRevision > 0) {
        lastRevision = 0;
        retryMillis = MIN_RETRY_MILLIS;
        continue;
      }
      if (result instanceof ConfigReadResult.Unavailable unavailable) {
        LOGGER.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
            "platform: Key %s cannot be read from the config service: %s",
            key, unavailable.reason());
      }
      sleep(retryMillis);
      retryMillis = Math.min(MAX_RETRY_MILLIS, retryMillis * 2);
    }
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Stops watching. */
  @Override
  public void close() {
    closed = true;
    thread.interrupt();
  }
}
