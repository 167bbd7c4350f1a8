package org.gentianslip.entry.published;

import java.util.Collection;
import org.gentianslip.core.published.PublishedItem;
import org.gentianslip.core.published.PublishedState;

/** Gives published items their meaning. Used by one thread at a time. */
public interface ItemDecoder {

  /** Returns whether an item expires if its writer cannot reach the publisher. */
  boolean isLeased(String key);

  /** Returns what the items say; one that cannot be read is left out and logged. */
  PublishedState decode(Collection<PublishedItem> items, long revision);
}
