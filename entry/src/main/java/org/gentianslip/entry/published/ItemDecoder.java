package org.gentianslip.entry.published;

import java.util.Collection;
import java.util.Optional;
import org.gentianslip.core.published.Backend;
import org.gentianslip.core.published.ItemSchema;
import org.gentianslip.core.published.PublishedItem;
import org.gentianslip.core.published.PublishedState;
import org.gentianslip.core.published.Revision;

/** Decodes published items. Used by one thread at a time. */
public interface ItemDecoder extends ItemSchema {

  /** Returns the state decoded from the items; an unreadable item is logged and left out. */
  PublishedState decode(Collection<PublishedItem> items, Revision revision);

  /** Returns the backend server that an item describes, if it describes a readable one. */
  Optional<Backend> decodeBackend(PublishedItem item);
}
