package org.gentianslip.core.route;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.gentianslip.core.customer.Customer;
import org.gentianslip.core.customer.CustomerTable;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.ServiceId;

/**
 * The routes and services of one version of the configuration.
 *
 * <p>A request is served by the route of its host with the longest matching path prefix. Immutable
 * and thread-safe.
 */
public final class RouteTable {

  /** The conflicts of regions that are listed. */
  static final int MAX_CONFLICTS = 64;

  private final long version;
  private final Map<String, Map<String, Route>> routes = new HashMap<>();
  private final Map<ServiceId, ServiceProfile> services = new HashMap<>();
  private final CallerLimits limits;
  private final Optional<CustomerTable> customers;
  private boolean complete = true;
  private List<RegionConflict> conflicts = List.of();
  private long conflictCount;
  private long longestTimeoutMillis;

  private RouteTable(long version, CallerLimits limits, Optional<CustomerTable> customers) {
    this.version = version;
    this.limits = customers.isPresent() ? limits.forKeys() : limits;
    this.customers = customers;
  }

  /** Returns a table without customers. */
  public static RouteTable of(
      long version,
      Collection<Route> routes,
      Collection<ServiceProfile> services,
      CallerLimits limits) {
    return of(version, routes, services, limits, Optional.empty());
  }

  /**
   * Returns a table. If two routes have the same host and prefix, the first one is used.
   *
   * @param customers the customers; empty if requests need no key
   */
  public static RouteTable of(
      long version,
      Collection<Route> routes,
      Collection<ServiceProfile> services,
      CallerLimits limits,
      Optional<CustomerTable> customers) {
    var table = new RouteTable(version, limits, customers);
    for (Route route : routes) {
      table
          .routes
          .computeIfAbsent(route.host(), h -> new HashMap<>())
          .putIfAbsent(route.prefix(), route);
      table.longestTimeoutMillis = Math.max(table.longestTimeoutMillis, route.timeoutMillis());
    }
    services.forEach(s -> table.services.put(s.service(), s));
    table.findConflicts();
    return table;
  }

  /** Returns the version of the configuration; a later configuration has a higher version. */
  public long version() {
    return version;
  }

  /** Returns the limits on the requests of callers. */
  public CallerLimits limits() {
    return limits;
  }

  /** Returns the customers; empty if requests need no key. */
  public Optional<CustomerTable> customers() {
    return customers;
  }

  /** Returns a copy that may lack routes and customers of the newest configuration. */
  public RouteTable asIncomplete() {
    var copy = new RouteTable(version, limits, customers);
    copy.routes.putAll(routes);
    copy.services.putAll(services);
    copy.conflicts = conflicts;
    copy.conflictCount = conflictCount;
    copy.longestTimeoutMillis = longestTimeoutMillis;
    copy.complete = false;
    return copy;
  }

  /**
   * Returns whether each route and key of the newest configuration is held, so that any other path
   * or key is wrong.
   */
  public boolean isComplete() {
    return complete && customers.map(CustomerTable::isComplete).orElse(true);
  }

  /** Returns the longest timeout of all routes, in milliseconds, or 0 if there are none. */
  public long longestTimeoutMillis() {
    return longestTimeoutMillis;
  }

  /** Returns the number of routes. */
  public int size() {
    return routes.values().stream().mapToInt(Map::size).sum();
  }

  /** Returns all routes, sorted by name. */
  public List<Route> routes() {
    return routes.values().stream()
        .flatMap(r -> r.values().stream())
        .sorted(Comparator.comparing(Route::name))
        .toList();
  }

  /** Returns the route that serves a request, if any. */
  public Optional<Route> find(String host, String path) {
    Map<String, Route> routesOfHost = routes.get(host);
    if (routesOfHost == null) {
      return Optional.empty();
    }
    for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
      Route route = routesOfHost.get(path.substring(0, end + 1));
      if (route != null) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the regions that may receive every request to a host; empty if all regions may receive
   * them.
   */
  public Set<RegionId> regionsAllowedForHost(String host) {
    Set<RegionId> common = new HashSet<>();
    for (Route route : routes.getOrDefault(host, Map.of()).values()) {
      if (route.allowedRegions().isEmpty()) {
        continue;
      }
      if (common.isEmpty()) {
        common.addAll(route.allowedRegions());
      } else {
        common.retainAll(route.allowedRegions());
      }
    }
    return common;
  }

  /**
   * Returns the first routes and customers that no region may serve together, at most {@value
   * #MAX_CONFLICTS} of them, in the order of the names of routes. Public routes serve requests
   * without a customer.
   */
  public List<RegionConflict> regionConflicts() {
    return conflicts;
  }

  /** Returns the number of pairs of a route and a customer that no region may serve together. */
  public long regionConflictCount() {
    return conflictCount;
  }

  private void findConflicts() {
    Map<Set<RegionId>, List<Customer>> byRegions =
        customers.map(CustomerTable::customers).orElse(List.of()).stream()
            .filter(c -> !c.allowedRegions().isEmpty())
            .collect(Collectors.groupingBy(Customer::allowedRegions));
    List<RegionConflict> found = new ArrayList<>();
    for (Route route : routes()) {
      if (route.isPublic() || route.allowedRegions().isEmpty()) {
        continue;
      }
      byRegions.forEach(
          (regions, excluded) -> {
            if (Collections.disjoint(regions, route.allowedRegions())) {
              conflictCount += excluded.size();
              excluded.stream()
                  .limit(MAX_CONFLICTS - found.size())
                  .forEach(c -> found.add(RegionConflict.of(route, c)));
            }
          });
    }
    conflicts = List.copyOf(found);
  }

  /** Returns the profile of a service, if it is known. */
  public Optional<ServiceProfile> service(ServiceId service) {
    return Optional.ofNullable(services.get(service));
  }
}
