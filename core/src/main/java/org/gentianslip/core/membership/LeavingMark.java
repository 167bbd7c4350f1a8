package org.gentianslip.core.membership;

import java.util.Objects;
import org.gentianslip.core.id.EngineId;

/**
 * Tells that a backend server was seen to leave. Immutable and safe for use by several threads.
 *
 * @param engine the backend server
 * @param seenNanos when it was seen, in nanoseconds of the holder's monotonic clock; an exchange
 *     carries the age instead
 */
public record LeavingMark(EngineId engine, long seenNanos) {

  /** Checks the id. */
  public LeavingMark {
    Objects.requireNonNull(engine);
  }
}
