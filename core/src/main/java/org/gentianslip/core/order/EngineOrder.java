package org.gentianslip.core.order;

import java.util.Objects;
import org.gentianslip.core.id.EngineId;

/**
 * An order to an engine.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param engine the engine
 * @param type what the engine is to do
 * @param target the model, adapter, version or role
 * @param fence the fencing number
 */
public record EngineOrder(EngineId engine, OrderType type, String target, Fence fence) {

  /**
   * Checks the order.
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
