package org.gentianslip.entry.published;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.gentianslip.core.published.ItemChange;
import org.gentianslip.core.published.PublishedItem;
import org.gentianslip.core.published.Revision;

/** A source of published items. Implementations block and are confined to one thread. */
public interface PublishedSource {

  /**
   * All published items.
   *
   * @param items the items
   * @param revision the revision after which changes must be watched
   */
  record Listing(List<PublishedItem> items, Revision revision) {}

  /**
   * The changes after a revision.
   *
   * @param changes the changes in order
   * @param revision the revision up to which the changes are complete
   * @param historyLost whether changes are missing or the publisher was restored, so that all items
   *     must be listed again
   */
  record Changes(List<ItemChange> changes, Revision revision, boolean historyLost) {}

  /**
   * Lists all items.
   *
   * @throws IOException if the publisher returns no usable response
   */
  Listing list() throws IOException;

  /**
   * Waits for changes and returns them.
   *
   * @param after the revision up to which all changes are known
   * @param wait the maximum time to wait
   * @throws IOException if the publisher returns no usable response
   */
  Changes watch(Revision after, Duration wait) throws IOException;

  /**
   * Returns the changes between an older revision and now, without waiting for any.
   *
   * @param after the older revision; the changes since may not be available any more
   * @throws IOException if the publisher returns no usable response
   */
  default Changes history(Revision after) throws IOException {
    return watch(after, Duration.ofMillis(1));
  }
}
