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
      EngineId engine, ObservedEngineState observed, DesiredEngineState desired, Fence fence) {
    if (!desired.role().isEmpty() && mustSetRole(observed, desired, fence)) {
      return Optional.of(new EngineOrder(engine, OrderType.SET_ROLE, desired.role(), fence));
    }
    if (!desired.version().isEmpty() && !desired.version().equals(observed.version())) {
      return Optional.of(new EngineOrder(engine, OrderType.SET_VERSION, desired.version(), fence));
    }
    Optional<String> model = firstMissing(desired.models(), observed.models());
    if (model.isPresent()) {
      return Optional.of(new EngineOrder(engine, OrderType.LOAD_MODEL, model.get(), fence));
    }
    return firstMissing(desired.adapters(), observed.adapters())
        .map(adapter -> new EngineOrder(engine, OrderType.LOAD_ADAPTER, adapter, fence));
  }

  /**
   * Returns whether the role must be set.
   *
   * <p>A new author sets the role even if it is unchanged. This raises the fence of the engine,
   * which then refuses late orders of earlier authors.
   */
  private static boolean mustSetRole(
      ObservedEngineState observed, DesiredEngineState desired, Fence fence) {
    boolean raisesFence = observed.checksFence() && observed.fence().compareTo(fence) < 0;
    return raisesFence || !desired.role().equals(observed.role());
  }

  private static Optional<String> firstMissing(Set<String> wanted, Set<String> present) {
    return new TreeSet<>(wanted).stream().filter(name -> !present.contains(name)).findFirst();
  }
}
