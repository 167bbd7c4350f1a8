package org.gentianslip.core.quota;

import java.util.List;

/**
 * What an instance knows of the other ones for the quota of a customer. Immutable and thread-safe.
 *
 * @param instances the number of instances remembered, including this one
 * @param reachable the fraction of them that is not cut off from this instance
 * @param centres the usage in the other data centres
 */
public record FleetUsage(int instances, double reachable, List<HeardUsage> centres) {

  /** Copies the list. */
  public FleetUsage {
    centres = List.copyOf(centres);
  }
}
