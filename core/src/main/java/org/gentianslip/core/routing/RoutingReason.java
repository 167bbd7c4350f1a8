package org.gentianslip.core.routing;

/** Names the reason of a routing decision. Immutable and safe for use by several threads. */
public enum RoutingReason {
  /** The engine most likely holds the prefix and is within its load bound. */
  PREFIX_AFFINITY,
  /** The engine has the least load. */
  LEAST_LOADED,
  /** The engine is next in turn. */
  ROUND_ROBIN,
  /** The own region has no free capacity and another one answers sooner. */
  SPILL,
  /** Every engine is busy, and waiting is cheaper than sending the request away. */
  ENGINES_BUSY,
  /** No engine that may see the payload serves the model. */
  NO_ENGINE,
  /** The request can no longer meet its deadline. */
  DEADLINE,
  /** The queue is full. */
  QUEUE_FULL,
  /** The customer or the rank is over its share. */
  OVER_SHARE
}
