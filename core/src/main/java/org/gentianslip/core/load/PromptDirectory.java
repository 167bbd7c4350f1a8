package org.gentianslip.core.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Predicate;
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

  /** By part and engine. */
  private final Map<String, Map<EngineId, Entry>> entries = new ConcurrentHashMap<>();

  private record Entry(PromptHolder holder, long learnedNanos) {}

  /**
   * Takes that an engine has read a part.
   *
   * @return whether this is news
   */
  public boolean record(long nowNanos, PromptHolder holder) {
    if (holder.part().tokens() < LEAST_TOKENS) {
      return false;
    }
    var news = new AtomicBoolean();
    entries.compute(
        holder.part().id(),
        (part, engines) -> {
          Map<EngineId, Entry> known = engines == null ? new ConcurrentHashMap<>() : engines;
          Entry old = known.get(holder.engine());
          if (old == null
              || holder.prefilledNanos() - old.holder().prefilledNanos() >= NEWS_NANOS) {
            known.put(holder.engine(), new Entry(holder, nowNanos));
            news.set(true);
          }
          return known;
        });
    return news.get();
  }

  /** Returns the engines that have read a part, the latest first. */
  public List<EngineId> holders(long nowNanos, String part) {
    return entries.getOrDefault(part, Map.of()).values().stream()
        .map(Entry::holder)
        .filter(h -> nowNanos - h.prefilledNanos() < REMEMBER_NANOS)
        .sorted(Comparator.comparingLong(PromptHolder::prefilledNanos).reversed())
        .map(PromptHolder::engine)
        .toList();
  }

  /** Returns what was learned within a time, and forgets what is too old. */
  public List<PromptHolder> learnedWithin(long nowNanos, long windowNanos) {
    drop(e -> nowNanos - e.holder().prefilledNanos() >= REMEMBER_NANOS);
    List<PromptHolder> news = new ArrayList<>();
    for (Map<EngineId, Entry> engines : entries.values()) {
      for (Entry e : engines.values()) {
        if (nowNanos - e.learnedNanos() < windowNanos) {
          news.add(e.holder());
        }
      }
    }
    return news;
  }

  /** Forgets an engine, which was restarted or has gone. */
  public void forget(EngineId engine) {
    drop(e -> e.holder().engine().equals(engine));
  }

  private void drop(Predicate<Entry> dropped) {
    for (String part : entries.keySet()) {
      entries.computeIfPresent(
          part,
          (id, engines) -> {
            engines.values().removeIf(dropped);
            return engines.isEmpty() ? null : engines;
          });
    }
  }
}
