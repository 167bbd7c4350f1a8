package org.gentianslip.core.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.id.EngineId;

/**
 * Remembers which engines of the fleet have read a shared part of prompts.
 *
 * <p>It is a hint only: an engine may have dropped the part since. Safe for use by several threads.
 */
public final class PromptDirectory {

  /** The least length of a part that is worth to be remembered, in tokens. */
  public static final long LEAST_TOKENS = 1_000;

  /** How long a reading is remembered: some lifetimes of a busy engine's cache. */
  private static final long REMEMBER_NANOS = TimeUnit.SECONDS.toNanos(40);

  /** The age from which a new reading of the same part is news. */
  private static final long NEWS_NANOS = TimeUnit.SECONDS.toNanos(3);

  private final Map<Key, Entry> entries = new ConcurrentHashMap<>();

  private record Key(String part, EngineId engine) {}

  private record Entry(PromptHolder holder, long learnedNanos) {}

  /**
   * Takes that an engine has read a part.
   *
   * @return whether this is news
   */
  public boolean note(long nowNanos, PromptHolder holder) {
    if (holder.part().tokens() < LEAST_TOKENS) {
      return false;
    }
    var key = new Key(holder.part().id(), holder.engine());
    Entry known = entries.get(key);
    if (known != null && holder.readNanos() - known.holder().readNanos() < NEWS_NANOS) {
      return false;
    }
    entries.put(key, new Entry(holder, nowNanos));
    return true;
  }

  /** Returns the engines that have read a part, the latest first. */
  public List<EngineId> holders(long nowNanos, String part) {
    return entries.values().stream()
        .map(Entry::holder)
        .filter(h -> h.part().id().equals(part))
        .filter(h -> nowNanos - h.readNanos() < REMEMBER_NANOS)
        .sorted(Comparator.comparingLong(PromptHolder::readNanos).reversed())
        .map(PromptHolder::engine)
        .toList();
  }

  /** Returns what was learned within a time, and forgets what is too old. */
  public List<PromptHolder> learnedWithin(long nowNanos, long windowNanos) {
    entries.values().removeIf(e -> nowNanos - e.holder().readNanos() >= REMEMBER_NANOS);
    List<PromptHolder> news = new ArrayList<>();
    for (Entry e : entries.values()) {
      if (nowNanos - e.learnedNanos() < windowNanos) {
        news.add(e.holder());
      }
    }
    return news;
  }

  /** Forgets an engine, which was restarted or has gone. */
  public void forget(EngineId engine) {
    entries.keySet().removeIf(k -> k.engine().equals(engine));
  }
}
