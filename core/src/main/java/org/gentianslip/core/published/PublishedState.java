package org.gentianslip.core.published;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.EngineId;
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
