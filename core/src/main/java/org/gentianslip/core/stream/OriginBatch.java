package org.gentianslip.core.stream;

import java.util.List;

/**
 * Origins of streams that a peer has not seen yet. Immutable and thread-safe.
 *
 * @param origins the origins, the oldest change first; two of one stream if their versions differ
 * @param number the number of the change up to which they are complete
 */
public record OriginBatch(List<StreamOrigin> origins, long number) {

  /** A batch without origins. */
  public static final OriginBatch NONE = new OriginBatch(List.of(), 0);

  /** Copies the list. */
  public OriginBatch {
    origins = List.copyOf(origins);
  }
}
