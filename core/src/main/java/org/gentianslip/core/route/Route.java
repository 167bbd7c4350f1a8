package org.gentianslip.core.route;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.gentianslip.core.customer.Customer;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.ServiceId;

/**
 * A kind of request and the way in which it is served. Immutable and thread-safe.
 *
 * @param name the name of the route, unique within its table
 * @param host the host name that callers use
 * @param prefix the prefix of the path, which begins and ends with a slash
 * @param repeatability how often a request may run
 * @param streaming whether the answer is a stream of events
 * @param timeoutMillis the maximum time until the complete answer, in milliseconds
 * @param objectiveMillis the target time to the answer, or to the first event of a stream, in
 *     milliseconds
 * @param maxBackends the maximum number of backend servers that one request is sent to
 * @param rank the rank; 0 is the most urgent one
 * @param services the services that serve the route, at least one
 * @param allowedRegions the regions that may serve requests; empty if all regions may
 * @param isPublic whether requests need no key of a customer
 */
public record Route(
    String name,
    String host,
    String prefix,
    Repeatability repeatability,
    boolean streaming,
    long timeoutMillis,
    long objectiveMillis,
    int maxBackends,
    int rank,
    List<WeightedService> services,
    Set<RegionId> allowedRegions,
    boolean isPublic) {

  /** Creates a route that is not public. */
  public Route(
      String name,
      String host,
      String prefix,
      Repeatability repeatability,
      boolean streaming,
      long timeoutMillis,
      long objectiveMillis,
      int maxBackends,
      int rank,
      List<WeightedService> services,
      Set<RegionId> allowedRegions) {
    this(
        name,
        host,
        prefix,
        repeatability,
        streaming,
        timeoutMillis,
        objectiveMillis,
        maxBackends,
        rank,
        services,
        allowedRegions,
        false);
  }

  /**
   * Validates the components and copies the collections.
   *
   * @throws IllegalArgumentException if a value is out of its range
   */
  public Route {
    if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
      throw new IllegalArgumentException("Prefix must begin and end with a slash: " + prefix);
    }
    if (timeoutMillis <= 0) {
      throw new IllegalArgumentException("Timeout must be positive: " + timeoutMillis);
    }
    if (services.isEmpty()) {
      throw new IllegalArgumentException("Route must have at least one service: " + name);
    }
    services = List.copyOf(services);
    allowedRegions = Set.copyOf(allowedRegions);
  }

  /** Returns whether a region may receive and serve requests of this route. */
  public boolean allows(RegionId region) {
    return allowedRegions.isEmpty() || allowedRegions.contains(region);
  }

  /**
   * Returns this route with a customer's rank and within its regions, or an empty value if no
   * region is left.
   */
  public Optional<Route> forCustomer(Customer customer) {
    Set<RegionId> regions = allowedRegions;
    if (regions.isEmpty()) {
      regions = customer.allowedRegions();
    } else if (!customer.allowedRegions().isEmpty()) {
      regions = new HashSet<>(regions);
      regions.retainAll(customer.allowedRegions());
      if (regions.isEmpty()) {
        return Optional.empty();
      }
    }
    int effectiveRank = customer.rank().orElse(rank);
    if (effectiveRank == rank && regions.equals(allowedRegions)) {
      return Optional.of(this);
    }
    return Optional.of(
        new Route(
            name,
            host,
            prefix,
            repeatability,
            streaming,
            timeoutMillis,
            objectiveMillis,
            maxBackends,
            effectiveRank,
            services,
            regions,
            isPublic));
  }

  /**
   * Returns the service that serves a request, drawn in proportion to the weights.
   *
   * @param fraction a number from 0 (inclusive) to 1 (exclusive), uniformly distributed over the
   *     requests
   */
  public ServiceId serviceFor(double fraction) {
    double sum = services.stream().mapToDouble(WeightedService::weight).sum();
    double remaining = fraction * sum;
    for (WeightedService candidate : services) {
      remaining -= candidate.weight();
      if (remaining < 0) {
        return candidate.service();
      }
    }
    return services.get(0).service();
  }
}
