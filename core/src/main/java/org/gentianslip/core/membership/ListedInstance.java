package org.gentianslip.core.membership;

import java.util.Objects;

/**
 * Holds an element of the published list of instances. Immutable and safe for several threads.
 *
 * @param info the instance
 * @param listing what the list says of it
 */
public record ListedInstance(InstanceInfo info, Listing listing) {

  /** Checks the parts. */
  public ListedInstance {
    Objects.requireNonNull(info);
    Objects.requireNonNull(listing);
  }
}
