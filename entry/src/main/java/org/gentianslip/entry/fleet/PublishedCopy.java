package org.gentianslip.entry.fleet;

import java.util.List;
import org.gentianslip.core.published.PublishedItem;
import org.gentianslip.core.published.Revision;
import org.gentianslip.entry.published.PublishedSource;

/**
 * The JSON form of all published items, as copied to another instance.
 *
 * @param revision the number of the revision up to which the items are complete
 * @param era the era of that revision
 * @param items the items
 */
record PublishedCopy(long revision, long era, List<Item> items) {

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

  static PublishedCopy of(PublishedSource.Listing listing) {
    List<Item> items = listing.items().stream().map(Item::of).toList();
    return new PublishedCopy(listing.revision().number(), listing.revision().era(), items);
  }

  Revision publishedRevision() {
    return Revision.of(era, revision);
  }

  List<PublishedItem> toItems() {
    return items.stream().map(Item::toItem).toList();
  }
}
