package org.gentianslip.core.load;

import java.util.List;
import java.util.Optional;
import org.gentianslip.core.id.EngineId;

/**
 * Tells which backend servers are weighed for a request. Immutable, but for their loads.
 *
 * @param options the backend servers, each of which may get the request now
 * @param preferred the one that all instances prefer for its prompt while nothing else is known
 */
public record Candidates(List<BackendOption> options, Optional<EngineId> preferred) {

  /** No backend server may get the request. */
  public static final Candidates NONE = new Candidates(List.of(), Optional.empty());

  /** Copies the list. */
  public Candidates {
    options = List.copyOf(options);
  }
}
