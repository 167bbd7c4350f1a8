package org.gentianslip.core.order;

import java.util.Set;

/**
 * The state that an engine is to have.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param models the models to have loaded
 * @param adapters the adapters to have loaded
 * @param version the version of the weights, empty for any
 * @param role the role, empty for any
 */
public record DesiredEngineState(
    Set<String> models, Set<String> adapters, String version, String role) {

  /** Copies the sets. */
  public DesiredEngineState {
    models = Set.copyOf(models);
    adapters = Set.copyOf(adapters);
  }

  /** Returns whether any state will do. */
  public boolean isEmpty() {
    return models.isEmpty() && adapters.isEmpty() && version.isEmpty() && role.isEmpty();
  }
}
