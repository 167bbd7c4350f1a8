package org.gentianslip.core.membership;

import java.util.Objects;
import org.gentianslip.core.id.Incarnation;

/**
 * Tells what an instance says of itself in an exchange. Immutable and safe for several threads.
 *
 * @param info the instance
 * @param incarnation its present life
 * @param beat a number that grows during that life
 * @param leaving whether it shuts down
 * @param busyShare the used share of its capacity, from 0 to 1
 */
public record Heartbeat(
    InstanceInfo info, Incarnation incarnation, long beat, boolean leaving, double busyShare) {

  /**
   * Checks the parts.
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
