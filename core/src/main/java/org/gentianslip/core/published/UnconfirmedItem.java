package org.gentianslip.core.published;

/**
 * An item of a restored publisher that had been removed before. Immutable and thread-safe.
 *
 * @param item the item
 * @param removed the revision of the removal
 * @param remainingNanos after which time the item counts as confirmed, in nanoseconds; not positive
 *     if it is overdue
 */
public record UnconfirmedItem(PublishedItem item, Revision removed, long remainingNanos) {}
