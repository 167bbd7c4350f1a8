package org.gentianslip.core.customer;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.RegionId;

/**
 * A customer, without its keys. Immutable and thread-safe.
 *
 * @param id the id, unique within its table
 * @param rank the rank of its requests, if it overrides the rank of routes
 * @param allowedRegions the regions that may serve and see its requests; empty if all regions may
 * @param quota the quota of its requests, if it has one
 */
public record Customer(
    CustomerId id, OptionalInt rank, Set<RegionId> allowedRegions, Optional<Quota> quota) {

  /** Copies the regions. */
  public Customer {
    allowedRegions = Set.copyOf(allowedRegions);
  }
}
