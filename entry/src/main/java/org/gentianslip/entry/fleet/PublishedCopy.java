package org.gentianslip.entry.fleet;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.published.DelayedRemoval;
import org.gentianslip.core.published.ItemSnapshot;
import org.gentianslip.core.published.PublishedItem;
import org.gentianslip.core.published.Revision;
import org.gentianslip.core.published.UnconfirmedItem;

/**
 * The JSON form of all published items, as copied to another instance.
 *
 * @param revision the number of the revision up to which the items are complete
 * @param era the era of that revision
 * @param items the items
 * @param removals the delayed removals; null in copies of earlier versions
 * @param unconfirmed the items that are not in use yet; null in copies of earlier versions
 */
record PublishedCopy(
    long revision,
    long era,
    List<Item> items,
    List<Removal> removals,
    List<Unconfirmed> unconfirmed) {

  PublishedCopy {
    removals = removals == null ? List.of() : List.copyOf(removals);
    unconfirmed = unconfirmed == null ? List.of() : List.copyOf(unconfirmed);
  }

  /**
   * The JSON form of a published item.
   *
   * @param key the key
   * @param value the bytes, encoded as Base64 in JSON
   * @param revision the number of the revision of the last change
   * @param era the era of that revision
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Item(String key, byte[] value, long revision, long era) {

    static Item of(PublishedItem item) {
      return new Item(item.key(), item.value(), item.revision().number(), item.revision().era());
    }

    PublishedItem toItem() {
      return new PublishedItem(key, value, Revision.of(era, revision));
    }
  }

  /**
   * The JSON form of a {@link DelayedRemoval}.
   *
   * @param key the key of the item
   * @param revision the number of the revision of the removal
   * @param era the era of that revision
   * @param remaining how long the item may still be used, in milliseconds
   */
  record Removal(String key, long revision, long era, long remaining) {

    static Removal of(DelayedRemoval removal) {
      return new Removal(
          removal.key(),
          removal.revision().number(),
          removal.revision().era(),
          TimeUnit.NANOSECONDS.toMillis(removal.remainingNanos()));
    }

    DelayedRemoval toRemoval() {
      return new DelayedRemoval(
          key, Revision.of(era, revision), TimeUnit.MILLISECONDS.toNanos(remaining));
    }
  }

  /**
   * The JSON form of an {@link UnconfirmedItem}.
   *
   * @param item the item
   * @param revision the number of the revision of its removal
   * @param era the era of that revision
   * @param remaining after which time the item counts as confirmed, in milliseconds
   */
  record Unconfirmed(Item item, long revision, long era, long remaining) {

    static Unconfirmed of(UnconfirmedItem item) {
      return new Unconfirmed(
          Item.of(item.item()),
          item.removed().number(),
          item.removed().era(),
          TimeUnit.NANOSECONDS.toMillis(item.remainingNanos()));
    }

    UnconfirmedItem toItem() {
      return new UnconfirmedItem(
          item.toItem(), Revision.of(era, revision), TimeUnit.MILLISECONDS.toNanos(remaining));
    }
  }

  static PublishedCopy of(ItemSnapshot snapshot) {
    return new PublishedCopy(
        snapshot.revision().number(),
        snapshot.revision().era(),
        snapshot.items().stream().map(Item::of).toList(),
        snapshot.removals().stream().map(Removal::of).toList(),
        snapshot.unconfirmed().stream().map(Unconfirmed::of).toList());
  }

  ItemSnapshot toSnapshot() {
    return new ItemSnapshot(
        Revision.of(era, revision),
        items.stream().map(Item::toItem).toList(),
        removals.stream().map(Removal::toRemoval).toList(),
        unconfirmed.stream().map(Unconfirmed::toItem).toList());
  }
}
