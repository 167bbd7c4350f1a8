package org.gentianslip.standin.engine;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counters of the requests of an engine. Safe for use by several threads.
 *
 * <p>The number of prompts with a counter of their own is bounded; further prompts are counted only
 * in the totals.
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

  synchronized void countSeenWhileLeaving(long nanosSinceLeaving) {
    seenWhileLeaving++;
    lastSeenWhileLeavingMillis = nanosSinceLeaving / NANOS_PER_MILLI;
  }

  synchronized void countRefused() {
    refused++;
  }

  synchronized void countStarted(String promptDigest, int tokens, int tokensCached) {
    started++;
    promptTokens += tokens;
    cachedTokens += tokensCached;
    if (startedByPrompt.size() < MAX_PROMPTS || startedByPrompt.containsKey(promptDigest)) {
      startedByPrompt.merge(promptDigest, 1L, Long::sum);
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
