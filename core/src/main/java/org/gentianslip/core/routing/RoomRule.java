package org.gentianslip.core.routing;

/** Tells whether an engine has room for one more request. Implementations are stateless. */
@FunctionalInterface
interface RoomRule {

  /** Room within the instance's own limit. */
  RoomRule WITHIN_LIMIT = EngineView::hasRoom;

  /** Room by the last report, also beyond the instance's own limit. */
  RoomRule REPORTED_FREE = engine -> engine.usable() && engine.load() < engine.slots();

  /** Returns whether the engine has room. */
  boolean hasRoom(EngineView engine);
}
