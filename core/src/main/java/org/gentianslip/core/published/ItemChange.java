package org.gentianslip.core.published;

/** A change of a published item. Immutable. */
public sealed interface ItemChange {

  /** Returns the key of the item. */
  String key();

  /** Returns the revision of the change. */
  Revision revision();

  /**
   * The item was written.
   *
   * @param item the item after the change
   * @param created whether it is known that there was no such item before
   */
  record Written(PublishedItem item, boolean created) implements ItemChange {

    /** Creates a change of which it is not known whether there was such an item before. */
    public Written(PublishedItem item) {
      this(item, false);
    }

    @Override
    public String key() {
      return item.key();
    }

    @Override
    public Revision revision() {
      return item.revision();
    }
  }

  /**
   * The item was removed.
   *
   * @param key the key of the item
   * @param revision the revision of the removal
   */
  record Removed(String key, Revision revision) implements ItemChange {}
}
