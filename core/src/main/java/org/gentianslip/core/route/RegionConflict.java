package org.gentianslip.core.route;

import java.util.Set;
import org.gentianslip.core.customer.Customer;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.RegionId;

/**
 * A route and a customer that no region may serve together, so that each request is refused until
 * one of them is changed. Immutable and thread-safe.
 *
 * @param route the name of the route
 * @param routeRegions the regions that the route allows
 * @param customer the id of the customer
 * @param customerRegions the regions that the customer allows
 */
public record RegionConflict(
    String route, Set<RegionId> routeRegions, CustomerId customer, Set<RegionId> customerRegions) {

  /** Copies the regions. */
  public RegionConflict {
    routeRegions = Set.copyOf(routeRegions);
    customerRegions = Set.copyOf(customerRegions);
  }

  static RegionConflict of(Route route, Customer customer) {
    return new RegionConflict(
        route.name(), route.allowedRegions(), customer.id(), customer.allowedRegions());
  }
}
