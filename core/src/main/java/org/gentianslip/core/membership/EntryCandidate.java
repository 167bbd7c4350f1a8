package org.gentianslip.core.membership;

import java.util.Objects;

/**
 * An instance that may be offered to a caller as an entry. Immutable and thread-safe.
 *
 * @param info the instance
 * @param state its believed state
 * @param busyShare the share of its capacity that is in use, from 0 to 1
 */
public record EntryCandidate(InstanceInfo info, InstanceState state, double busyShare) {

  /**
   * Validates the components.
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
