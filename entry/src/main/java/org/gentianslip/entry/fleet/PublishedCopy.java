package org.gentianslip.entry.fleet;

import java.util.List;
import org.gentianslip.core.published.PublishedItem;
import org.gentianslip.entry.published.PublishedSource;

/**
 * The JSON form of all published items, as copied to another instance.
 *
 * @param revision the revision up to which the items are complete
 * @param items the items
 */
record PublishedCopy(long revision, List<Item> items) {

  /**
   * The JSON form of a published item.
   *
   * @param key the key
   * @param value the bytes, encoded as Base64 in JSON
   * @param revision the revision of the last change
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Item(String key, byte[] value, long revision) {}

  static PublishedCopy of(PublishedSource.Listing listing) {
    List<Item> items =
        listing.items().stream().map(i -> new Item(i.key(), i.value(), i.revision())).toList();
    return new PublishedCopy(listing.revision(), items);
  }

  List<PublishedItem> toItems() {
    return items.stream().map(i -> new PublishedItem(i.key(), i.value(), i.revision())).toList();
  }
}
