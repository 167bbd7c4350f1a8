package org.gentianslip.core.published;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

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

  private final ItemSchema schema;
  private final long removalDelayNanos;
  private final long confirmationDelayNanos;
  private final Map<String, PublishedItem> items = new HashMap<>();
  private final RemovalHistory removals = new RemovalHistory();
  private final Map<String, Long> removalDueNanos = new HashMap<>();
  private final Map<String, Unconfirmed> unconfirmed = new HashMap<>();
  private Revision revision = Revision.NONE;

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

  /** Returns whether an item is present as it was written by a change. */
  public boolean holds(PublishedItem item) {
    PublishedItem held = items.get(item.key());
    return held != null && held.revision().equals(item.revision());
  }

  /**
   * Returns the items together with the delayed changes.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   */
  public ItemSnapshot snapshot(long nowNanos) {
    List<DelayedRemoval> delayed = new ArrayList<>();
    removalDueNanos.forEach(
        (key, dueNanos) ->
            delayed.add(new DelayedRemoval(key, removalRevision(key), dueNanos - nowNanos)));
    List<UnconfirmedItem> awaiting = new ArrayList<>();
    unconfirmed.forEach(
        (key, u) ->
            awaiting.add(
                new UnconfirmedItem(u.item(), removalRevision(key), u.dueNanos() - nowNanos)));
    return new ItemSnapshot(revision, List.copyOf(items.values()), delayed, awaiting);
  }

  private Revision removalRevision(String key) {
    return removals.find(key).map(RemovalHistory.Removal::revision).orElse(revision);
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
    return remove(change.key(), change.revision(), dueNanos(nowNanos, delayed));
  }

  private boolean write(long nowNanos, PublishedItem item) {
    PublishedItem previous = items.get(item.key());
    if (previous != null
        && (previous.revision().equals(item.revision()) || isOlder(item, previous))) {
      return false;
    }
    RemovalHistory.Removal removal = removals.find(item.key()).orElse(null);
    if (removal != null && item.revision().era() == removal.revision().era()) {
      if (removal.revision().isAfter(item.revision())) {
        return false;
      }
    } else if (previous == null && removal != null && !isNew(item) && isFromBefore(item, removal)) {
      unconfirmed.putIfAbsent(item.key(), new Unconfirmed(item, nowNanos + confirmationDelayNanos));
      return false;
    }
    put(item);
    return true;
  }

  private void put(PublishedItem item) {
    unconfirmed.remove(item.key());
    removalDueNanos.remove(item.key());
    removals.forget(item.key());
    items.put(item.key(), item);
  }

  /** Returns whether an item of another era was written before its removal. */
  private boolean isFromBefore(PublishedItem item, RemovalHistory.Removal removal) {
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

  private OptionalLong dueNanos(long nowNanos, boolean delayed) {
    return delayed ? OptionalLong.of(nowNanos + removalDelayNanos) : OptionalLong.empty();
  }

  /** Removes an item, at once or at the given time; an earlier time that is known holds. */
  private boolean remove(String key, Revision atRevision, OptionalLong dueNanos) {
    PublishedItem previous = items.get(key);
    if (previous != null && previous.revision().isAfter(atRevision)) {
      return false;
    }
    unconfirmed.remove(key);
    removals.record(key, atRevision, Optional.ofNullable(previous));
    if (previous == null) {
      return false;
    }
    if (dueNanos.isPresent()) {
      removalDueNanos.merge(key, dueNanos.getAsLong(), PublishedItemStore::earlier);
      return false;
    }
    removalDueNanos.remove(key);
    items.remove(key);
    return true;
  }

  private static long earlier(long someNanos, long otherNanos) {
    return someNanos - otherNanos < 0 ? someNanos : otherNanos;
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
    return !revision.isAfter(atRevision)
        && applyListing(nowNanos, listing, Set.of(), atRevision, afterOutage);
  }

  /**
   * Replaces all items by those of another instance, unless they are older than the applied
   * changes.
   *
   * <p>The changes that are delayed there are applied here when their delay has passed, and no
   * later than if the publisher had been read here.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @param copy the items and delayed changes of the other instance
   * @param afterOutage whether the publisher has just recovered from an outage
   * @return whether an item changed
   */
  public boolean replace(long nowNanos, ItemSnapshot copy, boolean afterOutage) {
    if (revision.isAfter(copy.revision())) {
      return false;
    }
    Set<String> unconfirmedKeys =
        copy.unconfirmed().stream().map(u -> u.item().key()).collect(Collectors.toSet());
    boolean changed =
        applyListing(nowNanos, copy.items(), unconfirmedKeys, copy.revision(), afterOutage);
    for (DelayedRemoval removal : copy.removals()) {
      long delayNanos = Math.min(removal.remainingNanos(), removalDelayNanos);
      changed |= remove(removal.key(), removal.revision(), OptionalLong.of(nowNanos + delayNanos));
    }
    for (UnconfirmedItem item : copy.unconfirmed()) {
      changed |= awaitConfirmation(nowNanos, item);
    }
    return changed;
  }

  private boolean awaitConfirmation(long nowNanos, UnconfirmedItem other) {
    PublishedItem item = other.item();
    PublishedItem previous = items.get(item.key());
    if (previous != null
        && (previous.revision().era() == item.revision().era() || isOlder(item, previous))) {
      return false;
    }
    removals.record(item.key(), other.removed(), Optional.of(previous == null ? item : previous));
    items.remove(item.key());
    removalDueNanos.remove(item.key());
    long delayNanos = Math.min(other.remainingNanos(), confirmationDelayNanos);
    unconfirmed.putIfAbsent(item.key(), new Unconfirmed(item, nowNanos + delayNanos));
    return previous != null;
  }

  private boolean applyListing(
      long nowNanos,
      Collection<PublishedItem> listing,
      Set<String> unconfirmedKeys,
      Revision atRevision,
      boolean afterOutage) {
    Set<String> missing = new HashSet<>(items.keySet());
    missing.addAll(unconfirmed.keySet());
    missing.removeAll(unconfirmedKeys);
    boolean changed = false;
    for (PublishedItem item : listing) {
      missing.remove(item.key());
      changed |= write(nowNanos, item);
    }
    for (String key : missing) {
      boolean delayed = isFromEarlierEra(key, atRevision) || afterOutage && schema.isLeased(key);
      changed |= remove(key, atRevision, dueNanos(nowNanos, delayed));
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
