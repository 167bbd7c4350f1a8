package org.gentianslip.entry.published;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.gentianslip.core.published.ItemChange;
import org.gentianslip.core.published.PublishedItem;

/** Reads what the platform publishes. Implementations block and serve one thread. */
public interface PublishedSource {

  /**
   * Holds all items.
   *
   * @param items the items
   * @param revision the revision from which changes are to be watched
   */
  record Listing(List<PublishedItem> items, long revision) {}

  /**
   * Holds changes.
   *
   * @param changes the changes in order
   * @param revision the revision up to which they are complete
   * @param historyLost whether changes are missing, so that all items must be listed
   */
  record Changes(List<ItemChange> changes, long revision, boolean historyLost) {}

  /**
   * Lists all items.
   *
   * @throws IOException if the publisher gives no answer
   */
  Listing list() throws IOException;

  /**
   * Waits for changes.
   *
   * @param after the revision up to which all is known
   * @param wait the longest wait
   * @throws IOException if the publisher gives no answer
   */
  Changes watch(long after, Duration wait) throws IOException;
}
