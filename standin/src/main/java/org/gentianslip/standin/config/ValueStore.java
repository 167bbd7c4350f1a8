package org.gentianslip.standin.config;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The published values and a bounded history of earlier states.
 *
 * <p>The revision of a key increases by one with each change and decreases only by {@link
 * #restore}. Not safe for use by several threads; {@link ConfigStandin} guards it.
 */
final class ValueStore {

  /** The maximum size of a value, in bytes. */
  static final int MAX_VALUE_BYTES = 1 << 20;

  private static final int MAX_HISTORY = 64;

  private final Deque<Map<String, PublishedValue>> history = new ArrayDeque<>();
  private Map<String, PublishedValue> values = Map.of();

  Optional<PublishedValue> get(String key) {
    return Optional.ofNullable(values.get(key));
  }

  Map<String, PublishedValue> snapshot() {
    return values;
  }

  PublishResult put(String key, String json, OptionalLong expected) {
    long revision = get(key).map(PublishedValue::revision).orElse(0L);
    if (expected.isPresent() && expected.getAsLong() != revision) {
      return new PublishResult.Conflict(revision);
    }
    return putAll(Map.of(key, json), revision + 1);
  }

  /**
   * Publishes several values as one state.
   *
   * @param revision the revision to report in the result
   */
  PublishResult putAll(Map<String, String> changes, long revision) {
    var next = new HashMap<>(values);
    for (var change : changes.entrySet()) {
      int bytes = change.getValue().getBytes(StandardCharsets.UTF_8).length;
      if (bytes > MAX_VALUE_BYTES) {
        return new PublishResult.TooLarge(change.getKey(), bytes);
      }
      long currentRevision = get(change.getKey()).map(PublishedValue::revision).orElse(0L);
      next.put(change.getKey(), new PublishedValue(currentRevision + 1, change.getValue()));
    }
    history.addLast(values);
    if (history.size() > MAX_HISTORY) {
      history.removeFirst();
    }
    values = Map.copyOf(next);
    return new PublishResult.Published(revision);
  }

  /**
   * Restores an earlier state.
   *
   * @return whether the history contains that many changes
   */
  boolean restore(int steps) {
    if (steps < 1 || steps > history.size()) {
      return false;
    }
    for (int i = 0; i < steps; i++) {
      values = history.removeLast();
    }
    return true;
  }
}
