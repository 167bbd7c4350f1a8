package org.gentianslip.core.quarantine;

/**
 * The begin or the end of a quarantine, for the log. Immutable.
 *
 * @param verdict the finding
 * @param begun whether the quarantine has begun; it has ended otherwise
 */
public record QuarantineChange(Verdict verdict, boolean begun) {}
