package org.gentianslip.core.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Predicate;
import org.gentianslip.core.fleet.ChangeCounter;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.InstanceId;

/**
 * A directory of the engines of the fleet that have prefilled a shared part of prompts.
 *
 * <p>Its entries are hints only: an engine may have evicted the part since. Thread-safe.
 */
public final class PromptDirectory {

  /** The minimum length of a part that is recorded, in tokens. */
  public static final long MIN_TOKENS = 1_000;

  /** How long a prefill is remembered: several lifetimes of a part in a busy engine's cache. */
  private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(40);

  /** A later prefill of the same part by the same engine is recorded only after this time. */
  private static final long MIN_RENEWAL_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** The entries by part and engine. */
  private final Map<String, Map<EngineId, Entry>> entries = new ConcurrentHashMap<>();

  private final ChangeCounter changes = new ChangeCounter();

  /**
   * An entry.
   *
   * @param holder the engine and the part
   * @param change the number of the change
   * @param source the instance that reported it
   */
  private record Entry(PromptHolder holder, long change, InstanceId source) {}

  /** Returns the number of the last change. */
  public long lastChange() {
    return changes.last();
  }

  /**
   * Records that an engine has prefilled a part.
   *
   * @param source the instance that reported it
   * @param holder the engine and the part
   * @return whether this is new, so that peers need to be informed
   */
  public boolean record(InstanceId source, PromptHolder holder) {
    if (holder.part().tokens() < MIN_TOKENS) {
      return false;
    }
    var isNew = new AtomicBoolean();
    entries.compute(
        holder.part().id(),
        (part, engines) -> {
          Map<EngineId, Entry> known = engines == null ? new ConcurrentHashMap<>() : engines;
          Entry previous = known.get(holder.engine());
          if (previous == null
              || holder.prefilledNanos() - previous.holder().prefilledNanos()
                  >= MIN_RENEWAL_NANOS) {
            known.put(holder.engine(), new Entry(holder, changes.next(), source));
            isNew.set(true);
          }
          return known;
        });
    return isNew.get();
  }

  /** Returns the engines that have prefilled a part, the most recent first. */
  public List<EngineId> holders(long nowNanos, String part) {
    return entries.getOrDefault(part, Map.of()).values().stream()
        .map(Entry::holder)
        .filter(h -> nowNanos - h.prefilledNanos() < RETENTION_NANOS)
        .sorted(Comparator.comparingLong(PromptHolder::prefilledNanos).reversed())
        .map(PromptHolder::engine)
        .toList();
  }

  /**
   * Returns the newest entries that were recorded after a change and not reported by the receiver.
   *
   * @param after the number of the change
   * @param limit the maximum number of entries
   */
  public List<PromptHolder> recordedAfter(long after, InstanceId receiver, int limit) {
    List<Entry> recent = new ArrayList<>();
    for (Map<EngineId, Entry> engines : entries.values()) {
      for (Entry e : engines.values()) {
        if (e.change() > after && !e.source().equals(receiver)) {
          recent.add(e);
        }
      }
    }
    recent.sort(Comparator.comparingLong(Entry::change).reversed());
    return recent.stream().limit(limit).map(Entry::holder).toList();
  }

  /** Drops the entries that are too old. */
  public void dropExpired(long nowNanos) {
    removeEntries(e -> nowNanos - e.holder().prefilledNanos() >= RETENTION_NANOS);
  }

  /** Drops all entries of an engine that was restarted or removed. */
  public void forget(EngineId engine) {
    removeEntries(e -> e.holder().engine().equals(engine));
  }

  private void removeEntries(Predicate<Entry> condition) {
    for (String part : entries.keySet()) {
      entries.computeIfPresent(
          part,
          (id, engines) -> {
            engines.values().removeIf(condition);
            return engines.isEmpty() ? null : engines;
          });
    }
  }
}
