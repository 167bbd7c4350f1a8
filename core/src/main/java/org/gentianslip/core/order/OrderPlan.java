package org.gentianslip.core.order;

import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.gentianslip.core.id.EngineId;

/**
 * Determines the next order that brings an engine to its desired state. Stateless and thread-safe.
 */
final class OrderPlan {

  private OrderPlan() {}

  /** Returns the next order, or nothing if the engine has its desired state. */
  static Optional<EngineOrder> next(
      EngineId engine, ObservedEngineState condition, DesiredEngineState target, Fence fence) {
    if (!target.role().isEmpty() && isRoleDue(condition, target, fence)) {
      return Optional.of(new EngineOrder(engine, OrderType.SET_ROLE, target.role(), fence));
    }
    if (!target.version().isEmpty() && !target.version().equals(condition.version())) {
      return Optional.of(new EngineOrder(engine, OrderType.SET_VERSION, target.version(), fence));
    }
    Optional<String> model = missing(target.models(), condition.models());
    if (model.isPresent()) {
      return Optional.of(new EngineOrder(engine, OrderType.LOAD_MODEL, model.get(), fence));
    }
    return missing(target.adapters(), condition.adapters())
        .map(adapter -> new EngineOrder(engine, OrderType.LOAD_ADAPTER, adapter, fence));
  }

  /**
   * Returns whether the role must be set.
   *
   * <p>A new author sets the role even if it is unchanged. This raises the fence of the engine,
   * which then refuses late orders of earlier authors.
   */
  private static boolean isRoleDue(
      ObservedEngineState condition, DesiredEngineState target, Fence fence) {
    boolean raisesFence = condition.checksFence() && condition.fence().compareTo(fence) < 0;
    return raisesFence || !target.role().equals(condition.role());
  }

  private static Optional<String> missing(Set<String> wanted, Set<String> present) {
    return new TreeSet<>(wanted).stream().filter(name -> !present.contains(name)).findFirst();
  }
}
