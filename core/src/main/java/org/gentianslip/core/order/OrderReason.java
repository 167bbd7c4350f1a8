package org.gentianslip.core.order;

/** Why an instance sends no order to an engine. */
public enum OrderReason {
  /** Another instance is the author for the engine, or the list is not known yet. */
  NOT_AUTHOR,
  /** The list was confirmed too long ago. */
  LIST_EXPIRED,
  /** Another instance knows a later version of the list. */
  LATER_LIST_KNOWN,
  /** The state of the engine must be read first, or again after the last order. */
  STATE_NOT_READ,
  /** The engine took an order of a later author. */
  LATER_ORDER_TAKEN,
  /** Orders of an earlier author may still arrive. */
  QUIET_TIME,
  /** The share of the weight store's rate is used up. */
  WEIGHT_STORE_RATE,
  /** The engine has its target. */
  AT_TARGET
}
