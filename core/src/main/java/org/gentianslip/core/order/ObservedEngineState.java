package org.gentianslip.core.order;

import java.util.Objects;
import java.util.Set;

/**
 * The state of an engine as it was read.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param models the models that are loaded or being loaded
 * @param adapters the adapters that are loaded or being loaded
 * @param version the version of the weights
 * @param role the role
 * @param fence the greatest fence of an order that the engine took
 * @param checksFence whether the engine refuses orders with an older fence
 * @param readNanos when the call that read the state was sent, on the monotonic clock
 */
public record ObservedEngineState(
    Set<String> models,
    Set<String> adapters,
    String version,
    String role,
    Fence fence,
    boolean checksFence,
    long readNanos) {

  /** Copies the sets. */
  public ObservedEngineState {
    models = Set.copyOf(models);
    adapters = Set.copyOf(adapters);
    Objects.requireNonNull(fence, "fence");
  }
}
