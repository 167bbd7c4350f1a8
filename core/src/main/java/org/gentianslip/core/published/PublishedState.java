package org.gentianslip.core.published;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.route.RouteTable;

/**
 * Holds all that is published, as of one revision. Immutable and safe for use by several threads.
 *
 * @param revision the revision up to which all changes are known
 * @param routes the configuration, if one is known
 * @param backends the backend servers by id
 * @param evacuated the data centres whose backend servers get no work
 */
public record PublishedState(
    long revision,
    Optional<RouteTable> routes,
    Map<EngineId, Backend> backends,
    Set<DataCentreId> evacuated) {

  /** Nothing is known. */
  public static final PublishedState NONE =
      new PublishedState(0, Optional.empty(), Map.of(), Set.of());

  /** Copies the collections. */
  public PublishedState {
    backends = Map.copyOf(backends);
    evacuated = Set.copyOf(evacuated);
  }

  /** Returns whether a backend server may get new work as far as is published. */
  public boolean acceptsWork(Backend backend) {
    return !backend.leaving() && !evacuated.contains(backend.dataCentre());
  }

  /** Returns this state, but with the routes of an earlier one if those have a higher version. */
  public PublishedState withRoutesNotOlderThan(PublishedState earlier) {
    long known = earlier.routes().map(RouteTable::version).orElse(Long.MIN_VALUE);
    boolean older = routes.map(r -> r.version() < known).orElse(true);
    return older ? new PublishedState(revision, earlier.routes(), backends, evacuated) : this;
  }
}
