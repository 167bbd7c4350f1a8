package org.gentianslip.core.published;

/**
 * A removal of an item that is still in use until its delay has passed. Immutable and thread-safe.
 *
 * @param key the key of the item
 * @param revision the revision of the removal
 * @param remainingNanos how long the item may still be used, in nanoseconds; not positive if it is
 *     overdue
 */
public record DelayedRemoval(String key, Revision revision, long remainingNanos) {}
