package org.gentianslip.core.load;

import java.util.List;
import java.util.Optional;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.EngineId;

/**
 * The backend servers that a request may be sent to. Immutable except for their loads.
 *
 * @param options the backend servers, each of which may be sent the request now
 * @param preferred the backend server that all instances prefer for the prompt as long as none is
 *     known to hold it
 */
public record Candidates(
    List<BackendOption> options,
    Optional<EngineId> preferred,
    Optional<DataCentreId> ownDataCentre) {

  /** No backend server may be sent the request. */
  public static final Candidates NONE =
      new Candidates(List.of(), Optional.empty(), Optional.empty());

  /** Creates candidates with a copy of the list. */
  public Candidates {
    options = List.copyOf(options);
  }
}
