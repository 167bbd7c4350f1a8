package org.gentianslip.core.order;

import java.util.Objects;
import org.gentianslip.core.id.EngineId;

/**
 * An order to an engine.
 *
 * <p>Immutable and thread-safe.
 *
 * @param engine the engine
 * @param type the type of the order
 * @param target the model, adapter, version or role that the order names
 * @param fence the fence of the order
 */
public record EngineOrder(EngineId engine, OrderType type, String target, Fence fence) {

  /**
   * Validates the components.
   *
   * @throws IllegalArgumentException if {@code target} is empty
   */
  public EngineOrder {
    Objects.requireNonNull(engine, "engine");
    Objects.requireNonNull(type, "type");
    Objects.requireNonNull(fence, "fence");
    if (target.isEmpty()) {
      throw new IllegalArgumentException("target must not be empty: " + type + " " + engine);
    }
  }
}
