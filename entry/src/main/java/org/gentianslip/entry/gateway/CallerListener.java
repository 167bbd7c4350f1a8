package org.gentianslip.entry.gateway;

/** Receives connection events of a caller, on the event loop of its request. */
interface CallerListener {

  /** Called when the caller has closed the connection. */
  void onDisconnect();

  /** Called when the write buffer of the connection is full, or has room again. */
  void onWritabilityChanged(boolean writable);
}
