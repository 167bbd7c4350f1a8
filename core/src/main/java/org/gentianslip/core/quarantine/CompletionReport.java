package org.gentianslip.core.quarantine;

/**
 * A part of a prompt with which an engine has completed an answer. Immutable.
 *
 * @param part the id of the part
 * @param sentNanos when that request was sent, in nanoseconds of the monotonic clock
 */
public record CompletionReport(String part, long sentNanos) {}
