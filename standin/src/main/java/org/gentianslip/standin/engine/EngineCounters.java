package org.gentianslip.standin.engine;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counts what an engine does. Safe for use by several threads.
 *
 * <p>The counts by prompt are bounded; further prompts are counted in the totals only.
 */
final class EngineCounters {

  private static final int MAX_PROMPTS = 20_000;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final Map<String, Long> startedByPrompt = new LinkedHashMap<>();
  private long seen;
  private long started;
  private long finished;
  private long cancelled;
  private long refused;
  private long seenWhileLeaving;
  private long lastSeenWhileLeavingMillis = -1;
  private long promptTokens;
  private long cachedTokens;

  synchronized void countSeen() {
    seen++;
  }

  synchronized void countSeenWhileLeaving(long sinceNanos) {
    seenWhileLeaving++;
    lastSeenWhileLeavingMillis = sinceNanos / NANOS_PER_MILLI;
  }

  synchronized void countRefused() {
    refused++;
  }

  synchronized void countStarted(String digest, int prompt, int cached) {
    started++;
    promptTokens += prompt;
    cachedTokens += cached;
    if (startedByPrompt.size() < MAX_PROMPTS || startedByPrompt.containsKey(digest)) {
      startedByPrompt.merge(digest, 1L, Long::sum);
    }
  }

  synchronized void countFinished() {
    finished++;
  }

  synchronized void countCancelled() {
    cancelled++;
  }

  synchronized EngineStats stats() {
    return new EngineStats(
        seen,
        started,
        finished,
        cancelled,
        refused,
        seenWhileLeaving,
        lastSeenWhileLeavingMillis,
        promptTokens,
        cachedTokens,
        Map.copyOf(startedByPrompt));
  }
}
