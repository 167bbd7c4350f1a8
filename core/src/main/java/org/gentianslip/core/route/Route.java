package org.gentianslip.core.route;

import java.util.List;
import java.util.Set;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.ServiceId;

/**
 * Describes one kind of request and how it is served. Immutable and safe for use by several
 * threads.
 *
 * @param name the name of the route, which is unique in its table
 * @param host the host name that callers use
 * @param prefix the beginning of the path; it begins and ends with a slash
 * @param repeatability how often a request may run
 * @param streaming whether the answer is a stream of events
 * @param timeoutMillis the longest time until the final answer, in milliseconds
 * @param objectiveMillis the time in which the answer, or the first event, is due, in milliseconds
 * @param maxBackends the greatest number of backend servers that one request is sent to
 * @param rank the rank; 0 is the most urgent
 * @param services the services, at least one
 * @param allowedRegions the regions that may serve the request; empty if all may
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
    Set<RegionId> allowedRegions) {

  /**
   * Copies the collections and checks the numbers.
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
      throw new IllegalArgumentException("Route has no service: " + name);
    }
    services = List.copyOf(services);
    allowedRegions = Set.copyOf(allowedRegions);
  }

  /** Returns whether a region may serve and see requests of this route. */
  public boolean allows(RegionId region) {
    return allowedRegions.isEmpty() || allowedRegions.contains(region);
  }

  /**
   * Returns the service of a request.
   *
   * @param fraction a number from 0 to 1, excluded, evenly spread over the requests
   */
  public ServiceId serviceFor(double fraction) {
    double sum = services.stream().mapToDouble(WeightedService::weight).sum();
    double left = fraction * sum;
    for (WeightedService part : services) {
      left -= part.weight();
      if (left < 0) {
        return part.service();
      }
    }
    return services.get(0).service();
  }
}
