package org.gentianslip.core.routing;

/**
 * A rule that decides whether an engine has capacity for one more request. Implementations are
 * stateless.
 */
@FunctionalInterface
interface CapacityRule {

  /** The engine has capacity if this instance is below its own limit. */
  CapacityRule WITHIN_LIMIT = EngineView::hasCapacity;

  /**
   * The engine has capacity if its last report shows a free slot, even if this instance is at its
   * own limit.
   */
  CapacityRule REPORTED_FREE = engine -> engine.usable() && engine.load() < engine.slots();

  /** Returns whether the engine has capacity for one more request. */
  boolean hasCapacity(EngineView engine);
}
