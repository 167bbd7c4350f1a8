package org.gentianslip.core.order;

import java.util.Set;

/**
 * The desired state of an engine.
 *
 * <p>Immutable and thread-safe.
 *
 * @param models the models that should be loaded
 * @param adapters the adapters that should be loaded
 * @param version the version of the weights, or empty for any version
 * @param role the role, or empty for any role
 */
public record DesiredEngineState(
    Set<String> models, Set<String> adapters, String version, String role) {

  /** Creates a state with copies of the sets. */
  public DesiredEngineState {
    models = Set.copyOf(models);
    adapters = Set.copyOf(adapters);
  }

  /** Returns whether every state of the engine is acceptable. */
  public boolean isEmpty() {
    return models.isEmpty() && adapters.isEmpty() && version.isEmpty() && role.isEmpty();
  }
}
