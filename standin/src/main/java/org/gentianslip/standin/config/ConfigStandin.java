package org.gentianslip.standin.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gentianslip.standin.http.EventLoops;
import org.gentianslip.standin.http.HttpEndpoint;

/**
 * A stand-in for the config service.
 *
 * <p>Readers see the visible values; a published change becomes visible after the lag of its key. A
 * visible value is replaced only by a later revision, except by {@link #restore}. All state is
 * guarded by this object's monitor, so it is safe for use by several threads.
 */
public final class ConfigStandin implements AutoCloseable {

  private static final FluentLogger log = FluentLogger.forEnclosingClass();

  private final ConfigOptions options;
  private final CallRateLimiter rateLimiter;
  private final ValueStore published = new ValueStore();
  private final Map<String, PublishedValue> visible = new HashMap<>();
  private final Set<Watch> watches = new LinkedHashSet<>();
  private Map<String, PublishedValue> staleValues = Map.of();
  private ConfigMode mode = ConfigMode.UP;
  private long delayMillis;
  private HttpEndpoint endpoint;

  private ConfigStandin(ConfigOptions options) {
    this.options = options;
    this.rateLimiter = new CallRateLimiter(options.callsPerSecond());
  }

  /**
   * Starts a config service.
   *
   * @throws IllegalStateException if the port cannot be opened
   */
  public static ConfigStandin start(ConfigOptions options) {
    return start(options, Map.of());
  }

  /**
   * Starts a config service with initial values, which are visible immediately.
   *
   * @param values the JSON text of each key
   * @throws IllegalStateException if the port cannot be opened
   * @throws IllegalArgumentException if a value is too large
   */
  public static ConfigStandin start(ConfigOptions options, Map<String, String> values) {
    var standin = new ConfigStandin(Objects.requireNonNull(options, "options"));
    synchronized (standin) {
      var result = standin.published.putAll(values, 1);
      if (result instanceof PublishResult.TooLarge tooLarge) {
        throw new IllegalArgumentException("value is too large: " + tooLarge);
      }
      standin.visible.putAll(standin.published.snapshot());
      standin.endpoint = HttpEndpoint.start(options.port(), new ConfigHandler(standin));
    }
    return standin;
  }

  /** Returns the port that the config service listens on. */
  public synchronized int port() {
    return endpoint.port();
  }

  /**
   * Publishes a value, regardless of the revision that is published now.
   *
   * @param json the value as JSON text
   */
  public PublishResult publish(String key, String json) {
    return publish(key, json, OptionalLong.empty());
  }

  /**
   * Publishes a value.
   *
   * @param json the value as JSON text
   * @param expected the revision that must be published now, 0 for no value, or empty for no check
   */
  public synchronized PublishResult publish(String key, String json, OptionalLong expected) {
    var result = published.put(key, json, expected);
    if (result instanceof PublishResult.Published) {
      scheduleVisibility(key);
    }
    return result;
  }

  /** Publishes the parts of the settings as one state with the next revision. */
  public PublishResult publishSettings(List<JsonNode> parts) {
    return publishSettings(parts, OptionalLong.empty(), OptionalLong.empty());
  }

  /**
   * Publishes the parts of the settings as one state.
   *
   * @param expected the revision of the manifest that must be published now, or empty for no check
   * @param revision the revision to publish, or empty for the next one
   */
  public synchronized PublishResult publishSettings(
      List<JsonNode> parts, OptionalLong expected, OptionalLong revision) {
    long current =
        published
            .get(SettingsPublication.MANIFEST_KEY)
            .map(value -> SettingsPublication.revisionOf(value.json()))
            .orElse(0L);
    if (expected.isPresent() && expected.getAsLong() != current) {
      return new PublishResult.Conflict(current);
    }
    var publication = SettingsPublication.of(revision.orElse(current + 1), parts);
    var result = published.putAll(publication.values(), publication.revision());
    if (result instanceof PublishResult.Published) {
      publication.values().keySet().forEach(this::scheduleVisibility);
    }
    return result;
  }

  /**
   * Changes the mode in which readers are answered.
   *
   * @param slowMillis the delay of each answer in mode {@code SLOW}, in milliseconds
   */
  public synchronized void setMode(ConfigMode next, long slowMillis) {
    if (slowMillis < 0) {
      throw new IllegalArgumentException("delay must not be negative: " + slowMillis);
    }
    if (next == ConfigMode.STALE && mode != ConfigMode.STALE) {
      staleValues = Map.copyOf(visible);
    }
    mode = next;
    delayMillis = next == ConfigMode.SLOW ? slowMillis : 0;
    log.atInfo().log("config: mode set to %s.", next);
    if (next == ConfigMode.DOWN) {
      closeWatches();
      return;
    }
    respondToChangedWatches();
  }

  /**
   * Restores an earlier state, as from a backup; revisions decrease to those of that state.
   *
   * @param steps the number of changes to undo
   * @return whether the history contains that many changes
   */
  public synchronized boolean restore(int steps) {
    if (!published.restore(steps)) {
      return false;
    }
    visible.clear();
    visible.putAll(published.snapshot());
    mode = ConfigMode.UP;
    delayMillis = 0;
    log.atInfo().log("config: undid the last %d changes.", steps);
    return true;
  }

  /** Returns the counters of read calls since the start. */
  public synchronized CallCounts calls() {
    return rateLimiter.counts(watches.size());
  }

  /** Stops serving. The monitor is not held meanwhile, since closed connections acquire it. */
  @Override
  public void close() {
    HttpEndpoint current;
    synchronized (this) {
      current = endpoint;
    }
    current.close();
  }

  boolean admit(long nowNanos) {
    return rateLimiter.tryAcquire(nowNanos);
  }

  synchronized ConfigMode mode() {
    return mode;
  }

  synchronized long delayMillis() {
    return delayMillis;
  }

  /** Returns the value that readers see, or null. */
  synchronized PublishedValue read(String key) {
    return (mode == ConfigMode.STALE ? staleValues : visible).get(key);
  }

  /**
   * Registers a watch, unless it can be answered now.
   *
   * @return whether the watch is registered; otherwise the caller must respond to it
   */
  synchronized boolean addWatch(Watch watch) {
    if (mode == ConfigMode.DOWN || isChanged(watch)) {
      return false;
    }
    watches.add(watch);
    return true;
  }

  /** Removes a watch and returns whether it was registered. */
  synchronized boolean removeWatch(Watch watch) {
    return watches.remove(watch);
  }

  private boolean isChanged(Watch watch) {
    var value = read(watch.key());
    return value != null && value.revision() > watch.after();
  }

  private void scheduleVisibility(String key) {
    var value = published.get(key).orElseThrow();
    long lagMillis = options.lagMillis(key);
    if (lagMillis == 0) {
      makeVisible(key, value);
      return;
    }
    var unused =
        EventLoops.shared()
            .schedule(() -> makeVisible(key, value), lagMillis, TimeUnit.MILLISECONDS);
  }

  private synchronized void makeVisible(String key, PublishedValue value) {
    var current = visible.get(key);
    if (current != null && current.revision() >= value.revision()) {
      return;
    }
    visible.put(key, value);
    respondToChangedWatches();
  }

  private void respondToChangedWatches() {
    for (var watch : new ArrayList<>(watches)) {
      if (isChanged(watch)) {
        watches.remove(watch);
        ConfigHandler.respondWithValue(watch.exchange(), read(watch.key()));
      }
    }
  }

  private void closeWatches() {
    watches.forEach(watch -> watch.exchange().closeConnection());
    watches.clear();
  }
}
