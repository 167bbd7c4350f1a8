package org.gentianslip.core.membership;

import java.util.Objects;
import org.gentianslip.core.id.EngineId;

/**
 * A record that a backend server was seen to be leaving. Immutable and thread-safe.
 *
 * @param engine the backend server
 * @param seenNanos when this was seen, in nanoseconds of this process's monotonic clock; a hello
 *     carries the age instead
 */
public record LeavingMark(EngineId engine, long seenNanos) {

  /** Validates the id. */
  public LeavingMark {
    Objects.requireNonNull(engine);
  }
}
