package org.gentianslip.core.shutdown;

/**
 * How long a request may take at a target. Immutable and thread-safe.
 *
 * @param streaming whether the answer is a stream, which can't be replaced by a failure once it has
 *     begun
 * @param repeatable whether the request may be sent again after it may have run
 * @param expectedMillis the expected time to the complete answer, in milliseconds
 * @param limitMillis the time after which the request ends in any case, in milliseconds
 */
public record RequestTime(
    boolean streaming, boolean repeatable, double expectedMillis, long limitMillis) {}
