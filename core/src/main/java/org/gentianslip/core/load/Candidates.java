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
 * @param ownDataCentre the data centre whose backend servers are preferred at equal cost
 * @param pauseNanos the time after which one of them wants work again, in nanoseconds; 0 if there
 *     are options, or if none pauses
 */
public record Candidates(
    List<BackendOption> options,
    Optional<EngineId> preferred,
    Optional<DataCentreId> ownDataCentre,
    long pauseNanos) {

  /** No backend server may be sent the request. */
  public static final Candidates NONE =
      new Candidates(List.of(), Optional.empty(), Optional.empty(), 0);

  /** Creates candidates with a copy of the list. */
  public Candidates {
    options = List.copyOf(options);
  }
}
