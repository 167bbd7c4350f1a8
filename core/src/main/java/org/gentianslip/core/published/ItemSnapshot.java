package org.gentianslip.core.published;

import java.util.List;

/**
 * All that is known of the published items as of a revision, for a copy to another instance.
 *
 * <p>Changes up to the revision that do not have their effect yet are listed apart: whoever watches
 * the publisher from the revision does not receive them again. Immutable and thread-safe.
 *
 * @param revision the revision up to which all changes are known
 * @param items the items in use, including those whose removal is delayed
 * @param removals the delayed removals
 * @param unconfirmed the items that are not in use yet
 */
public record ItemSnapshot(
    Revision revision,
    List<PublishedItem> items,
    List<DelayedRemoval> removals,
    List<UnconfirmedItem> unconfirmed) {

  /** Creates a snapshot with copies of the lists. */
  public ItemSnapshot {
    items = List.copyOf(items);
    removals = List.copyOf(removals);
    unconfirmed = List.copyOf(unconfirmed);
  }
}
