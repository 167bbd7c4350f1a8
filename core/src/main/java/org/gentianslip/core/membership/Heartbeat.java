package org.gentianslip.core.membership;

import java.util.Objects;
import org.gentianslip.core.id.Incarnation;

/**
 * The state that an instance reports of itself in a hello. Immutable and thread-safe.
 *
 * @param info the instance
 * @param incarnation its current incarnation
 * @param beat a number that increases during that incarnation
 * @param leaving whether it is shutting down
 * @param busyShare the share of its capacity that is in use, from 0 to 1
 */
public record Heartbeat(
    InstanceInfo info, Incarnation incarnation, long beat, boolean leaving, double busyShare) {

  /**
   * Validates the components.
   *
   * @throws IllegalArgumentException if the share is out of its range
   */
  public Heartbeat {
    Objects.requireNonNull(info);
    Objects.requireNonNull(incarnation);
    if (!(busyShare >= 0 && busyShare <= 1)) {
      throw new IllegalArgumentException("Busy share must be from 0 to 1: " + busyShare);
    }
  }
}
