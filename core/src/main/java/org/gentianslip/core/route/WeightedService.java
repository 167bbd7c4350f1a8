package org.gentianslip.core.route;

import org.gentianslip.core.id.ServiceId;

/**
 * A service and its share of a route's requests. Immutable and thread-safe.
 *
 * @param service the service
 * @param weight its share relative to the other weights of the route, at least 0
 */
public record WeightedService(ServiceId service, double weight) {

  /**
   * Validates the weight.
   *
   * @throws IllegalArgumentException if the weight is negative or not a number
   */
  public WeightedService {
    if (!(weight >= 0)) {
      throw new IllegalArgumentException("Weight must be at least 0: " + weight);
    }
  }
}
