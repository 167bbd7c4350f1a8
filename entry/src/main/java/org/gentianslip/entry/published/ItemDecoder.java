package org.gentianslip.entry.published;

import java.util.Collection;
import org.gentianslip.core.published.PublishedItem;
import org.gentianslip.core.published.PublishedState;

/** Decodes published items. Used by one thread at a time. */
public interface ItemDecoder {

  /** Returns whether an item has a lease, and so expires unless its writer renews it. */
  boolean isLeased(String key);

  /** Returns the state decoded from the items; an unreadable item is logged and left out. */
  PublishedState decode(Collection<PublishedItem> items, long revision);
}
