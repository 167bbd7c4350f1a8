package org.gentianslip.core.order;

/** The reason why an instance sends no order to an engine. */
public enum OrderReason {
  /** Another instance is the author of the engine's orders, or no list is known yet. */
  NOT_AUTHOR,
  /** The last confirmation of the list is too old. */
  LIST_EXPIRED,
  /** Another instance knows a later version of the list. */
  LATER_LIST_KNOWN,
  /** The state of the engine was not read recently, or not since the last order. */
  STATE_NOT_READ,
  /** The engine has accepted an order of a later author. */
  LATER_ORDER_TAKEN,
  /** Orders of an earlier author may still arrive. */
  QUIET_TIME,
  /** The instance's share of the weight store's rate is used up. */
  WEIGHT_STORE_RATE,
  /** The engine has its desired state. */
  AT_TARGET
}
