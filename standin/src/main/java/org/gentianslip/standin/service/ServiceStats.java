package org.gentianslip.standin.service;

/**
 * The counters of a service since its start. Immutable.
 *
 * @param seen the received calls
 * @param executed the executed calls, counted once per execution
 * @param refused the calls that were refused before their start
 * @param seenWhileLeaving the calls that arrived while leaving
 * @param lastSeenWhileLeavingMillis the time from the start of leaving to the last such call, in
 *     milliseconds, or -1 if there was none
 */
public record ServiceStats(
    long seen,
    long executed,
    long refused,
    long seenWhileLeaving,
    long lastSeenWhileLeavingMillis) {}
