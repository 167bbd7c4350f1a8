package org.gentianslip.core.published;

import java.util.Optional;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.id.SoftwareVersion;

/**
 * A backend server as the platform publishes it. Immutable and thread-safe.
 *
 * <p>A server may start again under its id. What is remembered of a server belongs to one start of
 * it, which {@link #isSameStart} tells.
 *
 * @param id the id of the backend server
 * @param service its service
 * @param address the address on which it listens, as {@code IP:PORT}
 * @param dataCentre its data centre
 * @param slots the number of requests that it runs at once
 * @param leaving whether it is shutting down, so that it must not be sent new work
 * @param coldMillis how long it stays cold after the time of publication, in milliseconds
 * @param startedMillis when it started, in Unix milliseconds, or 0 if unknown
 * @param version the version of its software, if it names a valid one
 */
public record Backend(
    EngineId id,
    ServiceId service,
    String address,
    DataCentreId dataCentre,
    int slots,
    boolean leaving,
    long coldMillis,
    long startedMillis,
    Optional<SoftwareVersion> version) {

  /** Creates a backend server whose version is not known. */
  public Backend(
      EngineId id,
      ServiceId service,
      String address,
      DataCentreId dataCentre,
      int slots,
      boolean leaving,
      long coldMillis,
      long startedMillis) {
    this(
        id,
        service,
        address,
        dataCentre,
        slots,
        leaving,
        coldMillis,
        startedMillis,
        Optional.empty());
  }

  /** Returns whether another publication is of the same start of the same backend server. */
  public boolean isSameStart(Backend other) {
    return id.equals(other.id) && startedMillis == other.startedMillis;
  }
}
