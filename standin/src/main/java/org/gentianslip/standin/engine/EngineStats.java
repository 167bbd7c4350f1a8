package org.gentianslip.standin.engine;

import java.util.Map;

/**
 * The counters of an engine since its start, in requests unless stated otherwise. Immutable.
 *
 * @param seen the received requests for a completion
 * @param started the requests that got a slot
 * @param finished the requests that were completed
 * @param cancelled the requests whose client disconnected
 * @param refused the requests that were refused before their start
 * @param seenWhileLeaving the requests that arrived while leaving
 * @param lastSeenWhileLeavingMillis the time from the start of leaving to the last such request, in
 *     milliseconds, or -1 if there was none
 * @param promptTokens the prompt tokens of started requests
 * @param cachedTokens the prompt tokens of started requests that were in the prefix cache
 * @param startedByPrompt the started requests by the digest of their prompt
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
