package org.gentianslip.standin.engine;

import java.util.Map;

/**
 * The counters of an engine since its start. Immutable.
 *
 * @param seen the completions asked for
 * @param started the completions that got a slot
 * @param finished the completions that were answered to the end
 * @param cancelled the completions whose caller went away
 * @param refused the completions refused before the start
 * @param seenWhileLeaving the completions asked for while leaving
 * @param lastSeenWhileLeavingMillis how long after the engine began to leave the last of them came,
 *     in milliseconds, or -1
 * @param promptTokens the tokens of the prompts of started completions
 * @param cachedTokens those of them that the prefix cache held
 * @param startedByPrompt the started completions by the digest of their prompt
 */
public record EngineStats(
    long seen,
    long started,
    long finished,
    long cancelled,
    long refused,
    long seenWhileLeaving,
    long lastSeenWhileLeavingMillis,
    long promptTokens,
    long cachedTokens,
    Map<String, Long> startedByPrompt) {}
