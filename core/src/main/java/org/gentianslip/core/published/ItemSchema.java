package org.gentianslip.core.published;

import java.util.Optional;

/** What the keys and values of published items tell about their writers. */
public interface ItemSchema {

  /** Returns whether an item has a lease, and so expires unless its writer renews it. */
  boolean isLeased(String key);

  /** Returns the writer's own count of an item, or an empty value if the writer does not count. */
  Optional<WriterSequence> sequence(PublishedItem item);
}
