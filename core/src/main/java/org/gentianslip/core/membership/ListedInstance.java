package org.gentianslip.core.membership;

import java.util.Objects;

/**
 * An element of the published list of instances. Immutable and thread-safe.
 *
 * @param info the instance
 * @param listing its state in the list
 */
public record ListedInstance(InstanceInfo info, Listing listing) {

  /** Validates the components. */
  public ListedInstance {
    Objects.requireNonNull(info);
    Objects.requireNonNull(listing);
  }
}
