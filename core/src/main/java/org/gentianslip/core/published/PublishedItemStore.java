package org.gentianslip.core.published;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The published items as of a revision.
 *
 * <p>A change that is older than the known state of its item is ignored, so changes may arrive in
 * any order. After an outage of the publisher, an item whose lease has expired may be missing until
 * it is published again. The removal of such an item is therefore delayed.
 *
 * <p>A publisher that was restored from an older copy shows older values until their writers have
 * written again. Values of different eras are therefore ordered by their writer's own count, if
 * there is one; the removal of an item that the listings of a new era lack is delayed; and an item
 * that had been removed before is used again only once its writer has written it or it has outlived
 * its lease. Not thread-safe.
 */
public final class PublishedItemStore {

  /** The maximum number of removals that are remembered, the latest ones. */
  static final int MAX_REMOVALS = 10_000;

  private final ItemSchema schema;
  private final long removalDelayNanos;
  private final long confirmationDelayNanos;
  private final Map<String, PublishedItem> items = new HashMap<>();
  private final Map<String, Removal> removals = new LinkedHashMap<>();
  private final Map<String, Long> removalDueNanos = new HashMap<>();
  private final Map<String, Unconfirmed> unconfirmed = new HashMap<>();
  private Revision revision = Revision.NONE;

  /**
   * The removal of an item.
   *
   * @param revision the revision of the removal
   * @param last the last known value
   */
  private record Removal(Revision revision, Optional<PublishedItem> last) {}

  /**
   * An item of a restored publisher that had been removed before.
   *
   * @param item the item
   * @param dueNanos when it counts as confirmed, in nanoseconds of the monotonic clock
   */
  private record Unconfirmed(PublishedItem item, long dueNanos) {}

  /**
   * Creates an empty store.
   *
   * @param schema what is known of the writers of items
   * @param removalDelayNanos how long the removal of an item is delayed after an outage, in
   *     nanoseconds
   * @param confirmationDelayNanos how long an item that had been removed before the publisher was
   *     restored is not used unless it is written again, in nanoseconds
   */
  public PublishedItemStore(
      ItemSchema schema, long removalDelayNanos, long confirmationDelayNanos) {
    this.schema = schema;
    this.removalDelayNanos = removalDelayNanos;
    this.confirmationDelayNanos = confirmationDelayNanos;
  }

  /** Returns the revision up to which all changes were applied. */
  public Revision revision() {
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
      long nowNanos, List<ItemChange> changes, Revision upToRevision, boolean afterOutage) {
    boolean changed = false;
    for (ItemChange change : changes) {
      changed |= apply(nowNanos, change, afterOutage);
    }
    revision = Revision.latest(revision, upToRevision);
    return changed;
  }

  private boolean apply(long nowNanos, ItemChange change, boolean afterOutage) {
    if (change instanceof ItemChange.Written written) {
      return write(nowNanos, written.item());
    }
    boolean delayed = afterOutage && schema.isLeased(change.key());
    return remove(nowNanos, change.key(), change.revision(), delayed);
  }

  private boolean write(long nowNanos, PublishedItem item) {
    PublishedItem previous = items.get(item.key());
    if (previous != null && isOlder(item, previous)) {
      return false;
    }
    Removal removal = removals.get(item.key());
    if (removal != null && item.revision().era() == removal.revision().era()) {
      if (removal.revision().isAfter(item.revision())) {
        return false;
      }
    } else if (previous == null && removal != null && !isNew(item) && isFromBefore(item, removal)) {
      unconfirmed.putIfAbsent(item.key(), new Unconfirmed(item, nowNanos + confirmationDelayNanos));
      return false;
    }
    put(item);
    return previous == null || !previous.revision().equals(item.revision());
  }

  private void put(PublishedItem item) {
    unconfirmed.remove(item.key());
    removalDueNanos.remove(item.key());
    removals.remove(item.key());
    items.put(item.key(), item);
  }

  /** Returns whether an item of another era was written before its removal. */
  private boolean isFromBefore(PublishedItem item, Removal removal) {
    return removal
        .last()
        .map(last -> schema.sequence(last).isPresent() && compareSequences(item, last) <= 0)
        .orElse(removal.revision().isAfter(item.revision()));
  }

  /** Returns whether an item was written after all that is known, and so is no older value. */
  private boolean isNew(PublishedItem item) {
    return item.revision().era() == revision.era() && item.revision().isAfter(revision);
  }

  /** Returns whether an item was written before the known value of its key. */
  private boolean isOlder(PublishedItem item, PublishedItem known) {
    boolean comparable = item.revision().era() == known.revision().era() || isNew(item);
    int order = comparable ? 0 : compareSequences(item, known);
    return order < 0 || order == 0 && known.revision().isAfter(item.revision());
  }

  /** Orders two values by their writer's count; they are equal if it counts neither of them. */
  private int compareSequences(PublishedItem a, PublishedItem b) {
    Optional<WriterSequence> first = schema.sequence(a);
    Optional<WriterSequence> second = schema.sequence(b);
    return first.isPresent() && second.isPresent() ? first.get().compareTo(second.get()) : 0;
  }

  private boolean remove(long nowNanos, String key, Revision atRevision, boolean delayed) {
    PublishedItem previous = items.get(key);
    if (previous != null && previous.revision().isAfter(atRevision)) {
      return false;
    }
    unconfirmed.remove(key);
    recordRemoval(key, atRevision, previous);
    if (previous == null) {
      return false;
    }
    if (delayed) {
      removalDueNanos.putIfAbsent(key, nowNanos + removalDelayNanos);
      return false;
    }
    removalDueNanos.remove(key);
    items.remove(key);
    return true;
  }

  private void recordRemoval(String key, Revision atRevision, PublishedItem previous) {
    Removal known = removals.remove(key);
    if (known == null) {
      known = new Removal(Revision.NONE, Optional.empty());
    }
    Optional<PublishedItem> last = Optional.ofNullable(previous).or(known::last);
    removals.put(key, new Removal(Revision.latest(known.revision(), atRevision), last));
    if (removals.size() > MAX_REMOVALS) {
      removals.remove(removals.keySet().iterator().next());
    }
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
      long nowNanos, Collection<PublishedItem> listing, Revision atRevision, boolean afterOutage) {
    if (revision.isAfter(atRevision)) {
      return false;
    }
    Set<String> missing = new HashSet<>(items.keySet());
    missing.addAll(unconfirmed.keySet());
    boolean changed = false;
    for (PublishedItem item : listing) {
      missing.remove(item.key());
      changed |= write(nowNanos, item);
    }
    for (String key : missing) {
      boolean delayed = isFromEarlierEra(key, atRevision) || afterOutage && schema.isLeased(key);
      changed |= remove(nowNanos, key, atRevision, delayed);
    }
    revision = atRevision;
    return changed;
  }

  private boolean isFromEarlierEra(String key, Revision atRevision) {
    PublishedItem known = items.get(key);
    return known != null && known.revision().era() < atRevision.era();
  }

  /** Applies the delayed changes that are due, and returns whether there were any. */
  public boolean expire(long nowNanos) {
    Set<String> dueKeys = new HashSet<>();
    removalDueNanos.forEach(
        (key, dueNanos) -> {
          if (nowNanos - dueNanos >= 0) {
            dueKeys.add(key);
          }
        });
    dueKeys.forEach(removalDueNanos::remove);
    List<PublishedItem> confirmed =
        unconfirmed.values().stream()
            .filter(u -> nowNanos - u.dueNanos() >= 0)
            .map(Unconfirmed::item)
            .toList();
    confirmed.forEach(this::put);
    return items.keySet().removeAll(dueKeys) || !confirmed.isEmpty();
  }
}
