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
 * Stands in for the config service.
 *
 * <p>Readers see the visible values: a published change becomes visible after the lag of its key. A
 * visible value is replaced by a later revision only, except after {@link #restore}. All state is
 * guarded by this object's monitor, so it is safe for use by several threads.
 */
public final class ConfigStandin implements AutoCloseable {

  private static final FluentLogger log = FluentLogger.forEnclosingClass();

  private final ConfigOptions options;
  private final CallBudget budget;
  private final ValueStore published = new ValueStore();
  private final Map<String, PublishedValue> visible = new HashMap<>();
  private final Set<Watch> watches = new LinkedHashSet<>();
  private Map<String, PublishedValue> frozen = Map.of();
  private ConfigMode mode = ConfigMode.UP;
  private long delayMillis;
  private HttpEndpoint endpoint;

  private ConfigStandin(ConfigOptions options) {
    this.options = options;
    this.budget = new CallBudget(options.callsPerSecond());
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
   * Starts a config service that has published values without a lag.
   *
   * @param values the JSON text of each key
   * @throws IllegalStateException if the port cannot be opened
   * @throws IllegalArgumentException if a value is too large
   */
  public static ConfigStandin start(ConfigOptions options, Map<String, String> values) {
    var standin = new ConfigStandin(Objects.requireNonNull(options, "options"));
    synchronized (standin) {
      var result = standin.published.putAll(values, 1);
      if (result instanceof PublishResult.TooLarge large) {
        throw new IllegalArgumentException("value is too large: " + large);
      }
      standin.visible.putAll(standin.published.snapshot());
      standin.endpoint = HttpEndpoint.start(options.port(), new ConfigHandler(standin));
    }
    return standin;
  }

  /** Returns the port that is listened on. */
  public synchronized int port() {
    return endpoint.port();
  }

  /**
   * Publishes a value whatever is published now.
   *
   * @param json the value as JSON text
   */
  public PublishResult put(String key, String json) {
    return put(key, json, OptionalLong.empty());
  }

  /**
   * Publishes a value.
   *
   * @param json the value as JSON text
   * @param expected the revision that must be published now, 0 for none at all
   */
  public synchronized PublishResult put(String key, String json, OptionalLong expected) {
    var result = published.put(key, json, expected);
    if (result instanceof PublishResult.Published) {
      makeVisibleLater(key);
    }
    return result;
  }

  /** Publishes the parts of the settings as the state after the one that is published now. */
  public PublishResult publishSettings(List<JsonNode> parts) {
    return publishSettings(parts, OptionalLong.empty(), OptionalLong.empty());
  }

  /**
   * Publishes the parts of the settings as one state.
   *
   * @param expected the revision of the manifest that must be published now
   * @param revision the revision to publish, or nothing for the next one
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
      publication.values().keySet().forEach(this::makeVisibleLater);
    }
    return result;
  }

  /**
   * Changes the way of answering.
   *
   * @param delay the delay of each answer in milliseconds in the mode {@code SLOW}
   */
  public synchronized void setMode(ConfigMode next, long delay) {
    if (delay < 0) {
      throw new IllegalArgumentException("delay must not be negative: " + delay);
    }
    if (next == ConfigMode.STALE && mode != ConfigMode.STALE) {
      frozen = Map.copyOf(visible);
    }
    mode = next;
    delayMillis = next == ConfigMode.SLOW ? delay : 0;
    log.atInfo().log("config: the mode is now %s.", next);
    if (next == ConfigMode.DOWN) {
      dropWatches();
      return;
    }
    answerWatches();
  }

  /**
   * Goes back to an earlier state, as a backup that is restored; revisions go back as well.
   *
   * @param steps how many changes to undo
   * @return whether the history reaches back that far
   */
  public synchronized boolean restore(int steps) {
    if (!published.restore(steps)) {
      return false;
    }
    visible.clear();
    visible.putAll(published.snapshot());
    mode = ConfigMode.UP;
    delayMillis = 0;
    log.atInfo().log("config: %d changes are undone.", steps);
    return true;
  }

  /** Returns the calls since the start. */
  public synchronized CallCounts calls() {
    return budget.counts(watches.size());
  }

  /** Stops serving; it holds no lock, since connections that end ask for it. */
  @Override
  public void close() {
    HttpEndpoint started;
    synchronized (this) {
      started = endpoint;
    }
    started.close();
  }

  boolean admit(long nowNanos) {
    return budget.tryTake(nowNanos);
  }

  synchronized ConfigMode mode() {
    return mode;
  }

  synchronized long delayMillis() {
    return delayMillis;
  }

  /** Returns the value that readers see, or null. */
  synchronized PublishedValue read(String key) {
    return (mode == ConfigMode.STALE ? frozen : visible).get(key);
  }

  /**
   * Lets a watch wait for a change.
   *
   * @return whether it waits; if not, the caller answers it
   */
  synchronized boolean await(Watch watch) {
    if (mode == ConfigMode.DOWN || isChanged(watch)) {
      return false;
    }
    watches.add(watch);
    return true;
  }

  /** Ends the wait of a watch and returns whether it still waited. */
  synchronized boolean forget(Watch watch) {
    return watches.remove(watch);
  }

  private boolean isChanged(Watch watch) {
    var value = read(watch.key());
    return value != null && value.revision() > watch.after();
  }

  private void makeVisibleLater(String key) {
    var value = published.get(key).orElseThrow();
    long lag = options.lagMillis(key);
    if (lag == 0) {
      makeVisible(key, value);
      return;
    }
    var unused =
        EventLoops.shared().schedule(() -> makeVisible(key, value), lag, TimeUnit.MILLISECONDS);
  }

  private synchronized void makeVisible(String key, PublishedValue value) {
    var before = visible.get(key);
    if (before != null && before.revision() >= value.revision()) {
      return;
    }
    visible.put(key, value);
    answerWatches();
  }

  private void answerWatches() {
    for (var watch : new ArrayList<>(watches)) {
      if (isChanged(watch)) {
        watches.remove(watch);
        ConfigHandler.answerValue(watch.call(), read(watch.key()));
      }
    }
  }

  private void dropWatches() {
    watches.forEach(watch -> watch.call().closeConnection());
    watches.clear();
  }
}
