package org.gentianslip.core.route;

import org.gentianslip.core.id.ServiceId;

/**
 * Names a service and its part of a route's requests. Immutable and safe for use by several
 * threads.
 *
 * @param service the service
 * @param weight its part relative to the other weights of the route, at least 0
 */
public record WeightedService(ServiceId service, double weight) {

  /**
   * Checks the weight.
   *
   * @throws IllegalArgumentException if the weight is negative or no number
   */
  public WeightedService {
    if (!(weight >= 0)) {
      throw new IllegalArgumentException("Weight must be at least 0: " + weight);
    }
  }
}
