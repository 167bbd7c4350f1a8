package org.gentianslip.entry.configservice;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Watches one key of the config service on a thread of its own.
 *
 * <p>It hands on every value that the service shows, also one with an older revision than before;
 * the receiver decides. A wait that ends without a change is followed by a plain read: a service
 * that was restored counts its revisions from an earlier one, and a wait for a greater one would
 * miss what is published next. While the service gives no answer, it asks again with growing
 * pauses. Safe for use by several threads.
 */
public final class KeyWatcher implements AutoCloseable {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final Duration WAIT = Duration.ofSeconds(4);
  private static final long MIN_PAUSE_MILLIS = 100;
  private static final long MAX_PAUSE_MILLIS = 2_000;

  private final ConfigServiceReader reader;
  private final String key;
  private final ValueListener listener;
  private final Thread thread;
  private volatile boolean closed;

  /** Receives the values of a key, on the watcher's thread. */
  public interface ValueListener {

    /**
     * Receives a value.
     *
     * @return whether the value was used; otherwise it is read again after a pause
     */
    boolean accept(long revision, byte[] value);

    /**
     * Learns that the value received last is what the service shows.
     *
     * @param sentNanos when the call that showed it was sent, on the monotonic clock
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

  /** Starts to watch. */
  public void start() {
    thread.start();
  }

  private void run() {
    long after = 0;
    long pause = MIN_PAUSE_MILLIS;
    while (!closed) {
      long sentNanos = System.nanoTime();
      ConfigReadResult result = reader.watch(key, after, WAIT);
      if (result instanceof ConfigReadResult.Found found
          && listener.accept(found.revision(), found.value())) {
        listener.confirmed(sentNanos);
        after = found.revision();
        pause = MIN_PAUSE_MILLIS;
        continue;
      }
      if (result instanceof ConfigReadResult.Unchanged && after > 0) {
        after = 0;
        pause = MIN_PAUSE_MILLIS;
        continue;
      }
      if (result instanceof ConfigReadResult.Unavailable unavailable) {
        LOGGER.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
            "platform: %s is not readable. %s", key, unavailable.reason());
      }
      sleep(pause);
      pause = Math.min(MAX_PAUSE_MILLIS, pause * 2);
    }
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Stops to watch. */
  @Override
  public void close() {
    closed = true;
    thread.interrupt();
  }
}
