package org.gentianslip.standin.service;

/**
 * The counters of a service since its start. Immutable.
 *
 * @param seen the calls that arrived
 * @param executed the executions
 * @param refused the calls refused before their start
 * @param seenWhileLeaving the calls that arrived while leaving
 * @param lastSeenWhileLeavingMillis how long after the service began to leave the last of them
 *     came, in milliseconds, or -1
 */
public record ServiceStats(
    long seen,
    long executed,
    long refused,
    long seenWhileLeaving,
    long lastSeenWhileLeavingMillis) {}
