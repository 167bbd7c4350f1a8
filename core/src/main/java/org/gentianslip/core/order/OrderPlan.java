package org.gentianslip.core.order;

import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.gentianslip.core.id.EngineId;

/**
 * Finds the next order that brings an engine to its target. Stateless and safe for use by several
 * threads.
 */
final class OrderPlan {

  private OrderPlan() {}

  /** Returns the next order, or nothing if the engine has its target. */
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
   * Returns whether the role must be set. A new author sets it once more, which raises the fence of
   * the engine, so that late orders of earlier authors are refused.
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
