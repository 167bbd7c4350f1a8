package org.gentianslip.core.routing;

/** The reason of a routing decision. Immutable and thread-safe. */
public enum RoutingReason {
  /** The engine most likely holds the prefix and is within its load bound. */
  PREFIX_AFFINITY,
  /** The engine has the least load. */
  LEAST_LOADED,
  /** The engine is the next one in round-robin order. */
  ROUND_ROBIN,
  /** The local region has no free capacity and another region is expected to answer sooner. */
  SPILL,
  /** Every engine is busy, and waiting is cheaper than sending the request to another region. */
  ENGINES_BUSY,
  /** No engine that may receive the payload serves the model. */
  NO_ENGINE,
  /** The request can no longer meet its deadline. */
  DEADLINE,
  /** The queue is full. */
  QUEUE_FULL,
  /** The customer or the rank has exceeded its share. */
  OVER_SHARE
}
