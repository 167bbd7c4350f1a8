package org.gentianslip.core.published;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Holds the published items as of a revision.
 *
 * <p>A change that is older than what is known is dropped, so reports may arrive in any order. An
 * item that leases keep alive may be missing for a while after an outage of the publisher: such a
 * removal is held back until {@code holdNanos} have passed. Not safe for use by several threads.
 */
public final class PublishedItemStore {

  private final Predicate<String> leased;
  private final long holdNanos;
  private final Map<String, PublishedItem> items = new HashMap<>();
  private final Map<String, Long> removedAt = new HashMap<>();
  private final Map<String, Long> heldUntilNanos = new HashMap<>();
  private long revision;

  /**
   * Creates an empty book.
   *
   * @param leased tells by its key whether an item expires without the publisher
   * @param holdNanos how long a removal is held back after an outage, in nanoseconds
   */
  public PublishedItemStore(Predicate<String> leased, long holdNanos) {
    this.leased = leased;
    this.holdNanos = holdNanos;
  }

  /** Returns the revision up to which all changes are known. */
  public long revision() {
    return revision;
  }

  /** Returns the items. */
  public Collection<PublishedItem> items() {
    return List.copyOf(items.values());
  }

  /**
   * Takes changes up to a revision.
   *
   * @param afterOutage whether the publisher has just come back
   * @return whether an item changed
   */
  public boolean apply(
      long nowNanos, List<ItemChange> changes, long upToRevision, boolean afterOutage) {
    boolean changed = false;
    for (ItemChange change : changes) {
      changed |= apply(nowNanos, change, afterOutage);
    }
    revision = Math.max(revision, upToRevision);
    return changed;
  }

  private boolean apply(long nowNanos, ItemChange change, boolean afterOutage) {
    if (change instanceof ItemChange.Written written) {
      return write(written.item());
    }
    return remove(nowNanos, change.key(), change.revision(), afterOutage);
  }

  private boolean write(PublishedItem item) {
    PublishedItem known = items.get(item.key());
    if (known != null && known.revision() > item.revision()) {
      return false;
    }
    if (removedAt.getOrDefault(item.key(), 0L) > item.revision()) {
      return false;
    }
    heldUntilNanos.remove(item.key());
    removedAt.remove(item.key());
    items.put(item.key(), item);
    return known == null || known.revision() != item.revision();
  }

  private boolean remove(long nowNanos, String key, long atRevision, boolean afterOutage) {
    PublishedItem known = items.get(key);
    if (known != null && known.revision() > atRevision) {
      return false;
    }
    removedAt.merge(key, atRevision, Math::max);
    if (known == null) {
      return false;
    }
    if (afterOutage && leased.test(key)) {
      heldUntilNanos.putIfAbsent(key, nowNanos + holdNanos);
      return false;
    }
    heldUntilNanos.remove(key);
    items.remove(key);
    return true;
  }

  /**
   * Takes a whole listing; what it lacks is removed.
   *
   * @param atRevision the revision as of which the listing holds
   * @return whether an item changed
   */
  public boolean replace(
      long nowNanos, Collection<PublishedItem> listing, long atRevision, boolean afterOutage) {
    if (atRevision < revision) {
      return false;
    }
    Set<String> missing = new HashSet<>(items.keySet());
    boolean changed = false;
    for (PublishedItem item : listing) {
      missing.remove(item.key());
      changed |= write(item);
    }
    for (String key : missing) {
      changed |= remove(nowNanos, key, atRevision, afterOutage);
    }
    revision = atRevision;
    return changed;
  }

  /** Removes what was held back long enough; returns whether an item changed. */
  public boolean expire(long nowNanos) {
    Set<String> due = new HashSet<>();
    heldUntilNanos.forEach(
        (key, until) -> {
          if (nowNanos - until >= 0) {
            due.add(key);
          }
        });
    due.forEach(heldUntilNanos::remove);
    return items.keySet().removeAll(due);
  }
}
