package org.gentianslip.core.membership;

import java.util.Objects;
import org.gentianslip.core.id.Incarnation;
import org.gentianslip.core.id.InstanceId;

/**
 * Tells what a peer believes of a third instance.
 *
 * <p>A hint is about one life of the instance only. Immutable and safe for use by several threads.
 *
 * @param id the instance
 * @param incarnation the life
 * @param beat the last beat that the belief rests on
 * @param kind what is believed
 */
public record Hint(InstanceId id, Incarnation incarnation, long beat, Kind kind) {

  /** Checks the parts. */
  public Hint {
    Objects.requireNonNull(id);
    Objects.requireNonNull(incarnation);
    Objects.requireNonNull(kind);
  }

  /** Tells the kinds of hints, the most urgent first. Safe for use by several threads. */
  public enum Kind {
    /** The instance shuts down. */
    LEAVING,
    /** The instance did not answer after that beat. */
    SILENT,
    /** The instance was heard with that beat. */
    HEARD
  }
}
