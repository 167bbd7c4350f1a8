package org.gentianslip.entry.fleet;

import java.util.List;
import org.gentianslip.core.published.PublishedItem;
import org.gentianslip.entry.published.PublishedSource;

/**
 * Tells another instance all that is published; the JSON form.
 *
 * @param revision the revision up to which it is complete
 * @param items the items
 */
record PublishedCopy(long revision, List<Item> items) {

  /**
   * The JSON form of an item.
   *
   * @param key the key
   * @param value the bytes, as Base64 in JSON
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
