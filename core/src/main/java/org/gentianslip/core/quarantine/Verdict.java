package org.gentianslip.core.quarantine;

/**
 * The finding that a part of prompts crashes engines. Immutable.
 *
 * @param part the id of the part
 * @param crashes the number of separate crashes that count against it
 * @param untilNanos when a request with the part may be tried again, in nanoseconds of the
 *     monotonic clock
 */
public record Verdict(String part, int crashes, long untilNanos) {}
