package org.gentianslip.core.membership;

import java.util.Objects;

/**
 * Holds an instance that may be named to a caller. Immutable and safe for use by several threads.
 *
 * @param info the instance
 * @param state what is believed of it
 * @param busyShare the used share of its capacity, from 0 to 1
 */
public record EntryCandidate(InstanceInfo info, InstanceState state, double busyShare) {

  /**
   * Checks the parts.
   *
   * @throws IllegalArgumentException if the share is out of its range
   */
  public EntryCandidate {
    Objects.requireNonNull(info);
    Objects.requireNonNull(state);
    if (!(busyShare >= 0 && busyShare <= 1)) {
      throw new IllegalArgumentException("Busy share must be from 0 to 1: " + busyShare);
    }
  }
}
