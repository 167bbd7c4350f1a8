package org.gentianslip.core.membership;

import java.util.Objects;
import org.gentianslip.core.id.Incarnation;
import org.gentianslip.core.id.InstanceId;

/**
 * The belief of a peer about a third instance.
 *
 * <p>A hint concerns one incarnation of the instance only. Immutable and thread-safe.
 *
 * @param id the instance
 * @param incarnation the incarnation
 * @param beat the last beat that the belief is based on
 * @param kind the belief
 */
public record Hint(InstanceId id, Incarnation incarnation, long beat, Kind kind) {

  /** Validates the components. */
  public Hint {
    Objects.requireNonNull(id);
    Objects.requireNonNull(incarnation);
    Objects.requireNonNull(kind);
  }

  /** The kinds of hints, the most urgent first. Thread-safe. */
  public enum Kind {
    /** The instance is shutting down. */
    LEAVING,
    /** The instance gave no answer after the beat. */
    SILENT,
    /** A heartbeat with the beat was received from the instance. */
    HEARD
  }
}
