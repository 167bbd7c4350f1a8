package org.gentianslip.core.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.gentianslip.core.fleet.ChangeCounter;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.InstanceId;

/**
 * Numbers the evidence of an instance, so that a peer is sent only what it has not seen.
 *
 * <p>Holds a bounded number of crashes, the newest ones, and the newest completion of each part.
 * Not thread-safe.
 */
final class EvidenceLog {

  /** The maximum number of crashes that are remembered. */
  static final int MAX_CRASHES = 1_024;

  private final ChangeCounter changes = new ChangeCounter();
  private final TreeMap<Long, Entry<CrashReport>> crashes = new TreeMap<>();
  private final TreeMap<Long, Entry<CompletionReport>> completions = new TreeMap<>();
  private final Map<String, Long> completionChanges = new HashMap<>();
  private final Set<Attempt> attempts = new HashSet<>();

  private record Entry<T>(T report, InstanceId source) {}

  /** What identifies a crash report; the clocks of instances differ, so its times do not. */
  private record Attempt(String request, EngineId engine) {

    static Attempt of(CrashReport crash) {
      return new Attempt(crash.request(), crash.engine());
    }
  }

  /** Adds a crash unless it is known, and returns whether it was added. */
  boolean addCrash(InstanceId source, CrashReport crash) {
    if (!attempts.add(Attempt.of(crash))) {
      return false;
    }
    crashes.put(changes.next(), new Entry<>(crash, source));
    if (crashes.size() > MAX_CRASHES) {
      attempts.remove(Attempt.of(crashes.pollFirstEntry().getValue().report()));
    }
    return true;
  }

  void putCompletion(InstanceId source, CompletionReport completion) {
    long change = changes.next();
    Long previous = completionChanges.put(completion.part(), change);
    if (previous != null) {
      completions.remove(previous);
    }
    completions.put(change, new Entry<>(completion, source));
  }

  List<CrashReport> crashes() {
    return crashes.values().stream().map(Entry::report).toList();
  }

  /** Drops the crashes before a time, and the completions of requests sent before it. */
  void dropBefore(long nanos) {
    crashes.values().removeIf(e -> e.report().crashedNanos() - nanos < 0);
    attempts.retainAll(crashes().stream().map(Attempt::of).collect(Collectors.toSet()));
    completions.values().removeIf(e -> e.report().sentNanos() - nanos < 0);
    completionChanges.values().retainAll(completions.keySet());
  }

  /**
   * Returns the evidence recorded after a change, the oldest first.
   *
   * <p>What the receiver reported itself is left out unless it has received nothing yet, as it may
   * have started again and know nothing.
   *
   * @param after the number of the change
   * @param limit the maximum number of reports of each type
   */
  EvidenceBatch recordedAfter(long after, InstanceId receiver, int limit) {
    long last = changes.last();
    last = Math.min(last, lastOf(crashes, after, limit, last));
    last = Math.min(last, lastOf(completions, after, limit, last));
    return new EvidenceBatch(
        reports(crashes, after, last, receiver), reports(completions, after, last, receiver), last);
  }

  private static <T> long lastOf(TreeMap<Long, T> entries, long after, int limit, long last) {
    return entries.tailMap(after, false).keySet().stream()
        .skip(limit - 1L)
        .findFirst()
        .orElse(last);
  }

  private static <T> List<T> reports(
      TreeMap<Long, Entry<T>> entries, long after, long last, InstanceId receiver) {
    List<T> reports = new ArrayList<>();
    for (Entry<T> e : entries.subMap(after, false, Math.max(after, last), true).values()) {
      if (after == 0 || !e.source().equals(receiver)) {
        reports.add(e.report());
      }
    }
    return reports;
  }
}
