package org.gentianslip.core.published;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.route.RouteTable;

/**
 * All published state as of one revision. Immutable and thread-safe.
 *
 * @param revision the revision up to which all changes are known
 * @param routes the configuration, if one is known
 * @param backends the backend servers by id
 * @param evacuated the data centres whose backend servers must not be sent work
 */
public record PublishedState(
    Revision revision,
    Optional<RouteTable> routes,
    Map<EngineId, Backend> backends,
    Set<DataCentreId> evacuated) {

  /** The state before anything is known. */
  public static final PublishedState NONE =
      new PublishedState(Revision.NONE, Optional.empty(), Map.of(), Set.of());

  /** Creates a state with copies of the collections. */
  public PublishedState {
    backends = Map.copyOf(backends);
    evacuated = Set.copyOf(evacuated);
  }

  /** Returns whether a backend server may be sent new work according to the published state. */
  public boolean acceptsWork(Backend backend) {
    return !backend.leaving() && !evacuated.contains(backend.dataCentre());
  }

  /**
   * Returns whether a backend server has ended, as a later one is published with its address.
   *
   * @param earlier the backend server as it was published earlier
   */
  public boolean isAddressTaken(Backend earlier) {
    return AddressReuse.isTaken(earlier, backends, this::hasService);
  }

  /** Returns the backend servers that have left their address to a later one, with that one. */
  public Map<EngineId, Backend> formerHolders() {
    return AddressReuse.formerHolders(backends, this::hasService);
  }

  private boolean hasService(ServiceId service) {
    return routes.flatMap(r -> r.service(service)).isPresent();
  }

  /** Returns this state, or a copy without some backend servers. */
  public PublishedState without(Set<EngineId> ids) {
    if (ids.isEmpty()) {
      return this;
    }
    Map<EngineId, Backend> kept = new HashMap<>(backends);
    kept.keySet().removeAll(ids);
    return new PublishedState(revision, routes, kept, evacuated);
  }

  /**
   * Returns this state, or a copy with the routes of an earlier state if those have a higher
   * version.
   */
  public PublishedState withRoutesNotOlderThan(PublishedState earlier) {
    long knownVersion = earlier.routes().map(RouteTable::version).orElse(Long.MIN_VALUE);
    boolean hasOlderRoutes = routes.map(r -> r.version() < knownVersion).orElse(true);
    return hasOlderRoutes
        ? new PublishedState(revision, earlier.routes(), backends, evacuated)
        : this;
  }
}
