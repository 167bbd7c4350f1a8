package org.gentianslip.entry.published;

import java.util.Collection;
import java.util.Optional;
import org.gentianslip.core.published.Backend;
import org.gentianslip.core.published.PublishedItem;
import org.gentianslip.core.published.PublishedState;
import org.gentianslip.core.published.Revision;
import org.gentianslip.core.published.WriterSequence;

/** Finds nothing in any item. */
final class EmptyDecoder implements ItemDecoder {

  @Override
  public boolean isLeased(String key) {
    return false;
  }

  @Override
  public Optional<WriterSequence> sequence(PublishedItem item) {
    return Optional.empty();
  }

  @Override
  public PublishedState decode(Collection<PublishedItem> items, Revision revision) {
    return PublishedState.NONE;
  }

  @Override
  public Optional<Backend> decodeBackend(PublishedItem item) {
    return Optional.empty();
  }
}
