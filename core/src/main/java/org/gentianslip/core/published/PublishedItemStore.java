package org.gentianslip.core.published;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The published items as of a revision.
 *
 * <p>A change that is older than the known state of its item is ignored, so changes may arrive in
 * any order. After an outage of the publisher, an item whose lease has expired may be missing until
 * it is published again. The removal of such an item is therefore delayed. Not thread-safe.
 */
public final class PublishedItemStore {

  private final Predicate<String> isLeased;
  private final long removalDelayNanos;
  private final Map<String, PublishedItem> items = new HashMap<>();
  private final Map<String, Long> removalRevisions = new HashMap<>();
  private final Map<String, Long> removalDueNanos = new HashMap<>();
  private long revision;

  /**
   * Creates an empty store.
   *
   * @param isLeased accepts the keys of items that expire unless their lease is renewed
   * @param removalDelayNanos how long the removal of such an item is delayed after an outage, in
   *     nanoseconds
   */
  public PublishedItemStore(Predicate<String> isLeased, long removalDelayNanos) {
    this.isLeased = isLeased;
    this.removalDelayNanos = removalDelayNanos;
  }

  /** Returns the revision up to which all changes were applied. */
  public long revision() {
    return revision;
  }

  /** Returns the items. */
  public Collection<PublishedItem> items() {
    return List.copyOf(items.values());
  }

  /**
   * Applies changes up to a revision.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @param changes the changes, in any order
   * @param upToRevision the revision up to which the changes are complete
   * @param afterOutage whether the publisher has just recovered from an outage
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
    PublishedItem previous = items.get(item.key());
    if (previous != null && previous.revision() > item.revision()) {
      return false;
    }
    if (removalRevisions.getOrDefault(item.key(), 0L) > item.revision()) {
      return false;
    }
    removalDueNanos.remove(item.key());
    removalRevisions.remove(item.key());
    items.put(item.key(), item);
    return previous == null || previous.revision() != item.revision();
  }

  private boolean remove(long nowNanos, String key, long atRevision, boolean afterOutage) {
    PublishedItem previous = items.get(key);
    if (previous != null && previous.revision() > atRevision) {
      return false;
    }
    removalRevisions.merge(key, atRevision, Math::max);
    if (previous == null) {
      return false;
    }
    if (afterOutage && isLeased.test(key)) {
      removalDueNanos.putIfAbsent(key, nowNanos + removalDelayNanos);
      return false;
    }
    removalDueNanos.remove(key);
    items.remove(key);
    return true;
  }

  /**
   * Replaces all items by a complete listing, unless the listing is older than the applied changes.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @param listing all items that exist
   * @param atRevision the revision of the listing
   * @param afterOutage whether the publisher has just recovered from an outage
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

  /** Removes the items whose delayed removal is due, and returns whether there were any. */
  public boolean expire(long nowNanos) {
    Set<String> dueKeys = new HashSet<>();
    removalDueNanos.forEach(
        (key, dueNanos) -> {
          if (nowNanos - dueNanos >= 0) {
            dueKeys.add(key);
          }
        });
    dueKeys.forEach(removalDueNanos::remove);
    return items.keySet().removeAll(dueKeys);
  }
}
