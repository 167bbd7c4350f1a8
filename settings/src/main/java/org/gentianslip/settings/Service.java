package org.gentianslip.settings;

import java.util.Set;
import org.gentianslip.core.id.ServiceId;

/**
 * A plain service.
 *
 * <p>A call is idempotent if its method is GET, HEAD or OPTIONS, or if its path is declared as
 * idempotent. Immutable and safe for use by several threads.
 *
 * @param id the id of the service
 * @param idempotentPaths the paths below the service's prefix whose calls may be retried
 */
public record Service(ServiceId id, Set<String> idempotentPaths) {

  /** Copies the set. */
  public Service {
    idempotentPaths = Set.copyOf(idempotentPaths);
  }

  /**
   * Returns whether a call may be retried.
   *
   * @param method the HTTP method
   * @param path the path below the service's prefix, with its leading slash
   */
  public boolean isIdempotent(String method, String path) {
    return switch (method) {
      case "GET", "HEAD", "OPTIONS" -> true;
      default -> idempotentPaths.contains(path);
    };
  }
}
