package org.gentianslip.core.order;

import java.util.Objects;
import java.util.Set;

/**
 * The state of an engine as it was last read.
 *
 * <p>Immutable and thread-safe.
 *
 * @param models the models that are loaded or being loaded
 * @param adapters the adapters that are loaded or being loaded
 * @param version the version of the weights
 * @param role the role of the engine
 * @param fence the highest fence of all orders that the engine has accepted
 * @param checksFence whether the engine refuses orders with a lower fence
 * @param readNanos when the request that read the state was sent, in nanoseconds of the monotonic
 *     clock
 */
public record ObservedEngineState(
    Set<String> models,
    Set<String> adapters,
    String version,
    String role,
    Fence fence,
    boolean checksFence,
    long readNanos) {

  /** Validates the components and copies the sets. */
  public ObservedEngineState {
    models = Set.copyOf(models);
    adapters = Set.copyOf(adapters);
    Objects.requireNonNull(fence, "fence");
  }
}
